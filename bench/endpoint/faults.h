#pragma once

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>

namespace flamingo::bench {

/** How a stub endpoint behaves; all of it can be changed while it runs. */
struct Faults {
    // Service times follow a log-normal distribution through these two points.
    double m_medianMs = 2.0;
    double m_p99Ms = 6.0;
    double m_slowFraction = 0.0; // of the requests, slowed by the factor
    double m_slowFactor = 10.0;
    double m_stallEveryMs = 0.0; // all work stops for stall_ms at this interval; 0 for never
    double m_stallMs = 0.0;
    bool m_silent = false; // accepts and reads, but never answers
    double m_shedFraction = 0.0;
    double m_retryAfterMs = 20.0;
    std::optional<double> m_reportedLoad; // reported instead of the true load
    double m_coldMs = 0.0; // slower by the factor for this long after each start
    double m_coldFactor = 5.0;
    double m_connectDelayMs = 0.0; // before the first request of a connection is read
    std::string m_crashMarker; // a body that contains it kills the endpoint; empty for never
    double m_crashDownMs = 3000.0; // until a logical endpoint starts again
};

/** Sets the fields that the object names; returns false and an error for an unknown key or a wrong value. */
bool applyFaults(Faults& faults, const nlohmann::json& object, std::string& error);

} // namespace flamingo::bench
