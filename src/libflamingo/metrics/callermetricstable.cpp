#include "metrics/callermetricstable.h"

#include "metrics/metricsregistry.h"

#include <map>
#include <mutex>
#include <set>

namespace flamingo {

namespace {
const char* const resultLabels[] = { "success", "not_run", "failed", "unknown_outcome", "bad_input" };

// Upper bounds in seconds. 0.077 s is the target for the 99th percentile.
const std::vector<double> latencyBounds { 0.0005, 0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.015, 0.02, 0.03, 0.05,
    0.077, 0.1, 0.15, 0.25, 0.5, 1, 2.5, 5, 10 };
const std::vector<double> coverageBounds { 0, 0.25, 0.5, 0.75, 0.8, 0.85, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999, 0.9999,
    1 };
const std::vector<double> extraLoadBounds { 0, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2 };
} // namespace

class CallerMetricsTable::Impl {
public:
    explicit Impl(MetricsRegistry& registry)
        : m_registry(registry)
    {
    }

    CallerMetrics& find(const std::string& service, const std::string& callerClass)
    {
        const std::lock_guard lock(m_mutex);
        const std::string serviceLabel = boundedLabel(m_services, service, maxServiceLabels);
        const std::string classLabel = boundedLabel(m_classes, callerClass, maxCallerClassLabels);
        const auto [found, added] = m_metrics.try_emplace({ serviceLabel, classLabel });
        if (added)
            registerMetrics(found->second, { { "service", serviceLabel }, { "caller_class", classLabel } });
        return found->second;
    }

    void registerMetrics(CallerMetrics& metrics, const MetricLabels& labels)
    {
        for (std::size_t result = 0; result < std::size(resultLabels); ++result) {
            MetricLabels withResult = labels;
            withResult.emplace_back("result", resultLabels[result]);
            metrics.m_queries[result]
                = &m_registry.counter("flamingo_queries_total", "Queries by class of result.", withResult);
            metrics.m_requests[result] = &m_registry.counter(
                "flamingo_requests_total", "Requests of declared kinds by class of result.", withResult);
        }
        metrics.m_queryLatency = &m_registry.histogram("flamingo_query_latency_seconds",
            "Time from a query received to its answer ready, without refusals.", latencyBounds, labels);
        metrics.m_requestLatency = &m_registry.histogram("flamingo_request_latency_seconds",
            "Time from a request received to its answer ready, without refusals.", latencyBounds, labels);
        metrics.m_coverage = &m_registry.histogram("flamingo_query_coverage_ratio",
            "Weight of the shards that answered over the weight of all shards.", coverageBounds, labels);
        metrics.m_extraLoad = &m_registry.histogram("flamingo_query_extra_load_ratio",
            "Endpoint requests of a query over the least possible number, less one.", extraLoadBounds, labels);
        metrics.m_endpointRequests = &m_registry.counter("flamingo_query_endpoint_requests_total",
            "Endpoint requests sent for queries, hedges and retries included.", labels);
        metrics.m_leastEndpointRequests = &m_registry.counter("flamingo_query_least_endpoint_requests_total",
            "Endpoint requests that the queries needed at least: one for each shard.", labels);
    }

private:
    static std::string boundedLabel(std::set<std::string>& known, const std::string& value, std::size_t limit)
    {
        if (known.count(value) != 0)
            return value;
        if (known.size() >= limit)
            return otherLabel;
        known.insert(value);
        return value;
    }

    MetricsRegistry& m_registry;
    std::mutex m_mutex;
    std::set<std::string> m_services;
    std::set<std::string> m_classes;
    std::map<std::pair<std::string, std::string>, CallerMetrics> m_metrics;
};

CallerMetricsTable::CallerMetricsTable(MetricsRegistry& registry)
    : m_impl(std::make_unique<Impl>(registry))
{
}

CallerMetricsTable::~CallerMetricsTable() = default;

CallerMetrics& CallerMetricsTable::find(const ServiceName& service, const CallerClass& callerClass)
{
    return m_impl->find(service.value(), callerClass.value());
}

} // namespace flamingo
