#pragma once

#include "base/ids.h"
#include "customers/quota.h"

#include <cstdint>
#include <optional>
#include <set>

namespace flamingo {

/** A customer's account: requests that carry one of its API keys are made on its behalf. */
struct Customer {
    CustomerName m_name;
    std::set<ApiKeyDigest> m_keys;
    std::optional<std::uint32_t> m_priority; // replaces the priority of the route; 0 is the most urgent
    Quota m_quota;
};

} // namespace flamingo
