#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace flamingo {

/** Sends a query to a service; fields that are unset take the defaults of the service or of a query request. */
struct QueryStatement {
    ServiceName m_service;
    std::string m_body;
    std::optional<Milliseconds> m_deadline;
    std::optional<double> m_floor; // minimum coverage as a fraction, 0 to 1
    std::optional<std::uint32_t> m_limit; // maximum number of hits in the answer
    std::optional<CallerClass> m_callerClass;
};

} // namespace flamingo
