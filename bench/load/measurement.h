#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace flamingo::bench {

/** One query as it is to be sent. */
struct PlannedQuery {
    Microseconds m_at { 0 }; // after the start of the run
    std::string m_text;
    std::uint64_t m_choice = 0; // seeds the baseline's random replicas
};

/** Outcome of one query. */
struct Measurement {
    Microseconds m_at { 0 }; // intended send time after the start of the run
    Microseconds m_latency { 0 }; // from the intended send time
    std::string m_code; // result code name; "NoAnswer" for a lost connection
    double m_coverage = 0.0;
    std::uint32_t m_endpointRequests = 0;
    std::uint32_t m_shards = 0;
};

using Measurements = std::vector<Measurement>;

/** Returns the arrivals of a Poisson process; the same arguments give the same plan. */
std::vector<PlannedQuery> planQueries(
    double rate, Microseconds duration, std::uint64_t seed, std::uint32_t distinctTexts);

} // namespace flamingo::bench
