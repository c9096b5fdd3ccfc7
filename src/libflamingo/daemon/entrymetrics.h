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
 * Thread safety: recordQuery() and recordRequest() on the query loop; the others on any thread.
 */
class EntryMetrics {
public:
    EntryMetrics();

    /** Records a finished query, also a refused one. */
    void recordQuery(
        const ServiceName& service, const CallerClass& callerClass, const QueryAnswer& answer, Microseconds elapsed);
    /** Records a finished request of a declared kind, also a refused one. */
    void recordRequest(
        const ServiceName& service, const CallerClass& callerClass, ResultCode code, Microseconds elapsed);
    /** Records work that was refused before it reached the query loop. */
    void recordEarlyRefusal(ResultCode code);

    /** Copies the totals of routing and of the endpoint client. */
    void recordLoop(const RoutingState& routing, const EndpointClientCounters& counters);
    /** Copies the state of the control role. */
    void recordControl(const ConsensusMember& member, const ControlService& service);

    /** Returns the registry, for metrics of other roles. */
    MetricsRegistry& registry() { return m_registry; }

    /** Returns all metrics in the Prometheus text format. */
    std::string text() const { return m_registry.exposition(); }

private:
    CallerMetrics& find(const ServiceName& service, const CallerClass& callerClass);
    void set(const char* name, const char* help, double value, const MetricLabels& labels = {});

    MetricsRegistry m_registry;
    CallerMetricsTable m_table;
    std::map<std::pair<ServiceName, CallerClass>, CallerMetrics*> m_known;
};

} // namespace flamingo
