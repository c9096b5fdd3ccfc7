#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace flamingo {

/** Asks a service; unset fields take the service's values. */
struct QueryStatement {
    ServiceName m_service;
    std::string m_body;
    std::optional<Milliseconds> m_deadline;
    std::optional<double> m_floor;
    std::optional<std::uint32_t> m_limit;
    std::optional<CallerClass> m_callerClass;
};

} // namespace flamingo
