#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace flamingo {

/** A query as the caller sends it. The service definition supplies the values of unset fields. */
struct QueryRequest {
    RequestId m_id; // generated if the caller gives none
    ServiceName m_service;
    CallerClass m_callerClass { "default" };
    std::string m_body; // passed to the endpoints unchanged
    std::optional<Milliseconds> m_deadline;
    std::optional<double> m_coverageFloor; // fraction of the total shard weight, 0 to 1
    std::uint32_t m_limit = 100; // maximum number of hits in the answer
};

} // namespace flamingo
