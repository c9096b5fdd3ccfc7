#pragma once

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>

namespace flamingo::bench {

/** Service times and injected faults of a stub endpoint. All of them can be changed while it runs. */
struct Faults {
    // Service times have a log-normal distribution with this median and 99th percentile.
    double m_medianMs = 2.0;
    double m_p99Ms = 6.0;
    double m_slowFraction = 0.0; // share of the requests whose service time is multiplied by m_slowFactor
    double m_slowFactor = 10.0;
    double m_stallEveryMs = 0.0; // interval at which all work stops for m_stallMs; 0 for never
    double m_stallMs = 0.0;
    bool m_silent = false; // accepts and reads, but never answers
    double m_shedFraction = 0.0; // share of the requests that are shed whatever the load
    double m_retryAfterMs = 20.0; // delay that a shed request is told to wait
    std::optional<double> m_reportedLoad; // load to report instead of the true one
    double m_coldMs = 0.0; // time after each start in which service times are multiplied by m_coldFactor
    double m_coldFactor = 5.0;
    double m_connectDelayMs = 0.0; // delay before the first request of a connection is read
    std::string m_crashMarker; // a request whose body contains it crashes the endpoint; empty for never
    double m_crashDownMs = 3000.0; // time until a crashed logical endpoint starts again
};

/** Sets the fields that the object names; returns false and sets the error for an unknown key or an invalid value. */
bool applyFaults(Faults& faults, const nlohmann::json& object, std::string& error);

} // namespace flamingo::bench
