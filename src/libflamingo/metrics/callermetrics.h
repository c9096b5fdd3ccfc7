#pragma once

#include "base/resultcode.h"

#include <array>
#include <cstdint>

namespace flamingo {

class Counter;
class Histogram;

/** What is recorded for one finished query. */
struct QueryMeasurement {
    ResultCode m_code = ResultCode::Ok;
    double m_seconds = 0.0; // from the whole request received to the answer ready
    double m_coverage = 0.0; // fraction, 0 to 1
    std::uint32_t m_endpointRequests = 0; // hedges and retries included
    std::uint32_t m_shards = 0; // of the snapshot's layout; the least possible endpoint requests
};

/**
 * Metrics of one caller class and service, held by those who record.
 *
 * Thread-safe; recording takes no lock and looks nothing up. Valid as long as its registry.
 */
class CallerMetrics {
public:
    /**
     * Records a finished query. Coverage and extra load count only queries that ran, since a refusal
     * would appear as a query with no coverage.
     */
    void recordQuery(const QueryMeasurement& measurement);

    /** Records a finished request of a declared kind. */
    void recordRequest(ResultCode code, double seconds);

private:
    friend class CallerMetricsTable; // fills the pointers
    using Counters = std::array<Counter*, 5>; // by ResultClass

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
