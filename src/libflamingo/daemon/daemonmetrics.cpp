#include "daemon/daemonmetrics.h"

#include "consensus/consensusmember.h"
#include "control/controlservice.h"
#include "endpoint/endpointcounters.h"
#include "metrics/callermetrics.h"
#include "metrics/processmetrics.h"
#include "routing/latencydistribution.h"
#include "routing/routingstate.h"

namespace flamingo {

namespace {

// Callers may send any class name, so the cache is limited like the labels of the metrics.
constexpr std::size_t maxCachedMetrics = maxCallerClassLabels * maxServiceLabels;

double toSeconds(Microseconds time) { return std::chrono::duration<double>(time).count(); }

} // namespace

DaemonMetrics::DaemonMetrics()
    : m_table(m_registry)
{
    registerProcessMetrics(m_registry);
}

CallerMetrics& DaemonMetrics::callerMetrics(const ServiceName& service, const CallerClass& callerClass)
{
    const auto cached = m_cachedMetrics.find({ service, callerClass });
    if (cached != m_cachedMetrics.end())
        return *cached->second;
    CallerMetrics& metrics = m_table.find(service, callerClass);
    if (m_cachedMetrics.size() < maxCachedMetrics)
        m_cachedMetrics[{ service, callerClass }] = &metrics;
    return metrics;
}

void DaemonMetrics::recordQuery(
    const ServiceName& service, const CallerClass& callerClass, const QueryAnswer& answer, Microseconds elapsed)
{
    QueryMeasurement measurement;
    measurement.m_code = answer.m_code;
    measurement.m_seconds = toSeconds(elapsed);
    measurement.m_coverage = answer.m_coverage;
    measurement.m_endpointRequests = answer.m_endpointRequests;
    measurement.m_shards = answer.m_shardsTotal;
    callerMetrics(service, callerClass).recordQuery(measurement);
}

void DaemonMetrics::recordRequest(
    const ServiceName& service, const CallerClass& callerClass, ResultCode code, Microseconds elapsed)
{
    callerMetrics(service, callerClass).recordRequest(code, toSeconds(elapsed));
}

void DaemonMetrics::recordEarlyRefusal(ResultCode code)
{
    m_registry
        .counter("flamingo_early_refusals_total", "Queries and requests refused before they were admitted.",
            { { "code", std::string(resultCodeName(code)) } })
        .add();
}

void DaemonMetrics::setGauge(const char* name, const char* help, double value, const MetricLabels& labels)
{
    m_registry.gauge(name, help, labels).set(value);
}

void DaemonMetrics::recordLoop(const RoutingState& routing, const EndpointClientCounters& counters)
{
    setGauge("flamingo_state_revision", "Revision of the published state in use.",
        double(routing.m_table.m_revision.value()));
    setGauge("flamingo_configuration_version", "Configuration version in use.",
        double(routing.m_table.m_configurationVersion.value()));
    setGauge("flamingo_endpoint_connections", "Open connections to endpoints.", double(counters.m_connectionsOpen));
    setGauge("flamingo_endpoint_connections_opened", "Connections to endpoints opened since the start.",
        double(counters.m_connectionsOpened));
    setGauge("flamingo_endpoint_connections_lost", "Connections closed or reset by endpoints.",
        double(counters.m_connectionsLost));
    setGauge("flamingo_endpoint_connections_retired", "Connections closed because an answer was overdue.",
        double(counters.m_connectionsRetired));
    setGauge("flamingo_endpoint_calls_in_flight", "Calls to endpoints that are not finished.",
        double(counters.m_callsInFlight));
    setGauge("flamingo_endpoint_rate_limits_named", "Times that an endpoint began to name a rate limit.",
        double(routing.m_rateLimitReport.m_named));
    setGauge("flamingo_endpoint_rate_limits_ended", "Times that an endpoint ceased to name a rate limit.",
        double(routing.m_rateLimitReport.m_ended));
    setGauge("flamingo_endpoint_rate_limited_calls", "Calls to endpoints that named a rate limit.",
        double(routing.m_rateLimitReport.m_calls));
    setGauge("flamingo_endpoint_rate_limit_passed_over",
        "Times that an endpoint was not chosen, since this VM had sent its share of the rate limit.",
        double(routing.m_rateLimitReport.m_passedOver));
    for (const auto& [name, service] : routing.m_services) {
        const MetricLabels labels { { "service", name.value() } };
        const RoutingCounters& counts = service.m_counters;
        setGauge("flamingo_first_attempts", "Endpoint requests that were first attempts.",
            double(counts.m_firstAttempts), labels);
        setGauge("flamingo_hedges", "Endpoint requests sent as hedges.", double(counts.m_hedges), labels);
        setGauge("flamingo_retries", "Endpoint requests sent as retries.", double(counts.m_retries), labels);
        setGauge("flamingo_refusals_replaced", "Endpoint requests sent without a token in place of refused ones.",
            double(counts.m_refusalsReplaced), labels);
        setGauge("flamingo_canary_duplicates", "Endpoint requests sent as second attempts of a canary.",
            double(counts.m_canaryDuplicates), labels);
        setGauge("flamingo_extra_load_denied", "Hedges and retries put off because the extra-load budget was empty.",
            double(service.m_budget.m_denied), labels);
        setGauge("flamingo_hedge_delay_seconds", "Time after which a call is hedged.",
            toSeconds(hedgeDelay(service.m_latency, routing.m_settings)), labels);
        setGauge("flamingo_dropped_replies", "Answers that were late or did not match their call.",
            double(counts.m_droppedReplies), labels);
        setGauge(
            "flamingo_malformed_replies", "Answers with a malformed body.", double(counts.m_malformedReplies), labels);
        setGauge("flamingo_shed_replies", "Requests that endpoints refused.", double(counts.m_shed), labels);
        setGauge("flamingo_snapshot_restarts", "Queries started again on another snapshot.", double(counts.m_restarts),
            labels);
        setGauge("flamingo_suspected_deaths", "Suspected endpoint deaths reported.", double(counts.m_deaths), labels);
    }
}

void DaemonMetrics::recordControl(const ConsensusMember& member, const ControlService& service)
{
    const ControlServiceCounters& counts = service.counters();
    setGauge(
        "flamingo_control_leads", "1 while this VM leads the control group.", member.role() == Role::Leader ? 1 : 0);
    setGauge("flamingo_control_term", "Term of the replicated log.", double(member.term().value()));
    const bool leads = member.role() == Role::Leader;
    const VoterResponse voters = leads ? member.voterResponse(monotonicNow()) : VoterResponse();
    setGauge(
        "flamingo_control_voters", "Voters of the control group; 0 on VMs that do not lead.", double(voters.m_voters));
    setGauge("flamingo_control_unresponsive_voters", "Voters that have not answered the leader for 2.5 s.",
        double(voters.m_unresponsive.size()));
    setGauge("flamingo_control_applied_index", "Index of the last applied log entry.",
        double(member.appliedIndex().value()));
    setGauge("flamingo_control_applied_entries", "Log entries applied since the start.", double(counts.m_applied));
    setGauge("flamingo_control_renewals", "Lease renewals received.", double(counts.m_renewals));
    setGauge("flamingo_control_endpoint_renewals", "Endpoint renewals received.", double(counts.m_endpointRenewals));
    setGauge("flamingo_control_grants", "Leases granted.", double(counts.m_grants));
    setGauge("flamingo_control_deltas", "Deltas sent to entry VMs.", double(counts.m_deltas));
    setGauge("flamingo_control_full_copies", "Full copies sent to entry VMs.", double(counts.m_fullCopies));
    setGauge(
        "flamingo_control_state_bytes_sent", "Bytes of deltas and full copies sent.", double(counts.m_stateBytesSent));
    setGauge("flamingo_control_commands_refused", "Commands refused by the leader.", double(counts.m_commandsRefused));
    setGauge("flamingo_control_endpoints_expired", "Endpoints removed because their renewals stopped.",
        double(counts.m_endpointsExpired));
    setGauge("flamingo_control_departures_recorded",
        "Incarnations of endpoints on record that left, or whose registration expired.",
        double(service.state().m_leftEndpoints.size()));
    setGauge("flamingo_control_vms_departed", "VMs whose lease ended.", double(counts.m_vmsDeparted));
}

} // namespace flamingo
