#include "metrics/callermetrics.h"

#include "metrics/counter.h"
#include "metrics/histogram.h"

namespace flamingo {

void CallerMetrics::recordQuery(const QueryMeasurement& measurement)
{
    const ResultClass result = resultClass(measurement.m_code);
    m_queries[static_cast<std::size_t>(result)]->add();
    if (result == ResultClass::NotRun || result == ResultClass::BadInput)
        return;
    m_queryLatency->record(measurement.m_seconds);
    m_coverage->record(measurement.m_coverage);
    m_endpointRequests->add(measurement.m_endpointRequests);
    m_leastEndpointRequests->add(measurement.m_shards);
    if (measurement.m_shards > 0)
        m_extraLoad->record(static_cast<double>(measurement.m_endpointRequests) / measurement.m_shards - 1.0);
}

void CallerMetrics::recordRequest(ResultCode code, double seconds)
{
    const ResultClass result = resultClass(code);
    m_requests[static_cast<std::size_t>(result)]->add();
    if (result != ResultClass::NotRun && result != ResultClass::BadInput)
        m_requestLatency->record(seconds);
}

} // namespace flamingo
