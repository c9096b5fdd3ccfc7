#pragma once

#include "base/resultcode.h"

#include <array>
#include <cstdint>

namespace flamingo {

class Counter;
class Histogram;

/** Measurements of one finished query. */
struct QueryMeasurement {
    ResultCode m_code = ResultCode::Ok;
    double m_seconds = 0.0; // seconds from the receipt of the complete request until the answer is ready
    double m_coverage = 0.0; // fraction, 0 to 1
    std::uint32_t m_endpointRequests = 0; // including hedges and retries
    std::uint32_t m_shards = 0; // shards in the snapshot's layout; also the minimum number of endpoint requests
};

/**
 * Metrics of one caller class and service. The code that records keeps a reference, so that it needs no look-up.
 *
 * Thread-safe; recording takes no lock. Must not be used after its registry is destroyed.
 */
class CallerMetrics {
public:
    /**
     * Records a finished query. Latency, coverage and extra load are recorded only for queries that ran, since a
     * refusal would count as a fast query without coverage.
     */
    void recordQuery(const QueryMeasurement& measurement);

    /** Records a finished request of a declared kind. Latency is recorded only for requests that ran. */
    void recordRequest(ResultCode code, double seconds);

private:
    friend class CallerMetricsTable; // sets the pointers
    using Counters = std::array<Counter*, 5>; // indexed by ResultClass

    Counters m_queries {};
    Counters m_requests {};
    Histogram* m_queryLatency = nullptr;
    Histogram* m_requestLatency = nullptr;
    Histogram* m_coverage = nullptr;
    Histogram* m_extraLoad = nullptr;
    Counter* m_endpointRequests = nullptr;
    Counter* m_leastEndpointRequests = nullptr;
};

} // namespace flamingo
