#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>

namespace flamingo {

/** Answer to a QuotaUsage, or an announcement to all VMs, which grants nothing. */
struct QuotaStatus {
    CustomerName m_customer;
    std::uint64_t m_confirmed = 0; // QuotaUsage::m_to of the report that it answers
    std::uint32_t m_granted = 0; // waiting requests that may run; they are taken from the bucket already
    bool m_exhausted = false; // no request may run without a grant
    Milliseconds m_retryAfter { 0 }; // until the next request may be granted, if the quota is exhausted
};

} // namespace flamingo
