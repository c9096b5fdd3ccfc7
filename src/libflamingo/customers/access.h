#pragma once

#include "customers/customertable.h"
#include "routes/route.h"

#include <optional>
#include <string>

namespace flamingo {

/** Whether a request may run, and on whose behalf. */
struct AccessDecision {
    bool m_allowed = false;
    CustomerPtr m_customer; // null if the request belongs to no customer
};

/**
 * Decides on a request by its API key. Thread-safe.
 *
 * A request on a public route needs no key. If it carries the key of a customer, it is still made on its behalf.
 */
AccessDecision decideAccess(const CustomerTable& table, const Route& route, const std::optional<std::string>& apiKey);

} // namespace flamingo
