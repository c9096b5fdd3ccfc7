#include "endpoint/faults.h"

#include <nlohmann/json.hpp>

#include <map>

namespace flamingo::bench {

bool applyFaults(Faults& faults, const nlohmann::json& object, std::string& error)
{
    if (!object.is_object()) {
        error = "faults must be a map";
        return false;
    }
    Faults changed = faults;
    const std::map<std::string, double*> numbers { { "median_ms", &changed.m_medianMs }, { "p99_ms", &changed.m_p99Ms },
        { "slow_fraction", &changed.m_slowFraction }, { "slow_factor", &changed.m_slowFactor },
        { "stall_every_ms", &changed.m_stallEveryMs }, { "stall_ms", &changed.m_stallMs },
        { "shed_fraction", &changed.m_shedFraction }, { "retry_after_ms", &changed.m_retryAfterMs },
        { "cold_ms", &changed.m_coldMs }, { "cold_factor", &changed.m_coldFactor },
        { "connect_delay_ms", &changed.m_connectDelayMs }, { "crash_down_ms", &changed.m_crashDownMs } };
    for (const auto& [key, value] : object.items()) {
        const auto number = numbers.find(key);
        if (number != numbers.end() && value.is_number() && value.get<double>() >= 0.0) {
            *number->second = value.get<double>();
        } else if (key == "silent" && value.is_boolean()) {
            changed.m_silent = value.get<bool>();
        } else if (key == "crash_marker" && value.is_string()) {
            changed.m_crashMarker = value.get<std::string>();
        } else if (key == "reported_load" && value.is_number()) {
            changed.m_reportedLoad = value.get<double>();
        } else if (key == "reported_load" && value.is_null()) {
            changed.m_reportedLoad.reset();
        } else {
            error = "unknown fault or invalid value: '" + key + "' = " + value.dump();
            return false;
        }
    }
    if (changed.m_medianMs > changed.m_p99Ms) {
        error = "median_ms must not exceed p99_ms";
        return false;
    }
    faults = changed;
    return true;
}

} // namespace flamingo::bench
