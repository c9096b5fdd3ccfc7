#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace flamingo {

/** A query as a caller sends it; unset fields take the service's values. */
struct QueryRequest {
    RequestId m_id; // generated when the caller gives none
    ServiceName m_service;
    CallerClass m_callerClass { "default" };
    std::string m_body; // passed to the endpoints as it is
    std::optional<Milliseconds> m_deadline;
    std::optional<double> m_coverageFloor; // fraction, 0 to 1
    std::uint32_t m_limit = 100; // hits in the answer
};

} // namespace flamingo
