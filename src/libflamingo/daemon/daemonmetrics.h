#pragma once

#include "base/time.h"
#include "metrics/callermetricstable.h"
#include "metrics/metricsregistry.h"
#include "query/queryanswer.h"
#include "request/calleranswer.h"

#include <map>
#include <string>
#include <utility>

namespace flamingo {

class ConsensusMember;
class ControlService;
struct EndpointClientCounters;
struct RoutingState;

/**
 * Metrics of one daemon.
 *
 * Thread safety: recordQuery() and recordRequest() on the entry loop; the others on any thread.
 */
class DaemonMetrics {
public:
    DaemonMetrics();

    /** Records a query that was answered or refused. */
    void recordQuery(
        const ServiceName& service, const CallerClass& callerClass, const QueryAnswer& answer, Microseconds elapsed);
    /** Records a request of a declared kind that was answered or refused. */
    void recordRequest(
        const ServiceName& service, const CallerClass& callerClass, ResultCode code, Microseconds elapsed);
    /** Records a query or request that was refused before it reached the entry loop. */
    void recordEarlyRefusal(ResultCode code);

    /** Copies the counters of routing and of the endpoint client. */
    void recordLoop(const RoutingState& routing, const EndpointClientCounters& counters);
    /** Copies the state of the control role. */
    void recordControl(const ConsensusMember& member, const ControlService& service);

    /** Returns the registry, for metrics of other roles. */
    MetricsRegistry& registry() { return m_registry; }

    /** Returns all metrics in the Prometheus text format. */
    std::string text() const { return m_registry.exposition(); }

private:
    CallerMetrics& callerMetrics(const ServiceName& service, const CallerClass& callerClass);
    void setGauge(const char* name, const char* help, double value, const MetricLabels& labels = {});

    MetricsRegistry m_registry;
    CallerMetricsTable m_table;
    // Results of m_table.find(), limited in size.
    std::map<std::pair<ServiceName, CallerClass>, CallerMetrics*> m_cachedMetrics;
};

} // namespace flamingo
