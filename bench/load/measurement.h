#pragma once

#include "base/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace flamingo::bench {

/** One query to send. */
struct PlannedQuery {
    Microseconds m_at { 0 }; // intended send time after the start of the run
    std::string m_text;
    std::uint64_t m_replicaSeed = 0; // seeds the choice of replicas in the baseline
};

/** Outcome of one query. */
struct Measurement {
    Microseconds m_at { 0 }; // intended send time after the start of the run
    Microseconds m_latency { 0 }; // from the intended send time
    /** Name of the result code, "NoAnswer" for a lost connection or "NotSent" at the limit of connections. */
    std::string m_code;
    double m_coverage = 0.0;
    std::uint32_t m_endpointRequests = 0;
    std::uint32_t m_shards = 0;
};

using Measurements = std::vector<Measurement>;

/** Returns queries that arrive as a Poisson process; the same arguments give the same plan. */
std::vector<PlannedQuery> planQueries(
    double rate, Microseconds duration, std::uint64_t seed, std::uint32_t distinctTexts);

} // namespace flamingo::bench
