#include "daemon/forwardloop.h"

namespace flamingo {

void ForwardLoop::observeMetrics(MetricsRegistry& metrics)
{
    const auto observe = [&](const char* name, const char* help, std::function<double()> read) {
        metrics.observedCounter(name, help, std::move(read));
    };
    observe("flamingo_forward_requests_total", "Requests of callers that a route was found for.",
        [this] { return double(m_runner.counters().m_requests); });
    observe("flamingo_forward_calls_total", "Calls to endpoints, hedges and retries included.",
        [this] { return double(m_runner.counters().m_calls); });
    observe("flamingo_forward_hedges_total", "Calls sent while another call for the same shard was open.",
        [this] { return double(m_runner.counters().m_hedges); });
    observe("flamingo_forward_abandoned_total", "Requests whose callers left before the answer.",
        [this] { return double(m_runner.counters().m_abandoned); });
    metrics.observedGauge("flamingo_caller_held_bytes", "Bytes held for callers, see limits.memory_mb.",
        [this] { return double(m_callerBytes.held()); });
    metrics.observedGauge("flamingo_caller_connections", "Open connections of callers.",
        [this] { return double(m_callerServer.counters().m_connectionsOpen); });
    observe("flamingo_caller_connections_closed_for_memory_total",
        "Connections of slow callers that were closed, since too much memory was held for callers.",
        [this] { return double(m_callerServer.counters().m_closedForMemory); });
    observe("flamingo_caller_connections_closed_for_room_total",
        "Idle or slow connections of callers that were closed, so that new ones could be accepted.",
        [this] { return double(m_callerServer.counters().m_closedForRoom); });
    observe("flamingo_caller_connections_refused_total",
        "Connections of callers that were closed at once, since no other one could be closed.",
        [this] { return double(m_callerServer.counters().m_refusedConnections); });
    observe("flamingo_unknown_api_keys_total", "Requests refused since no customer holds their API key.",
        [this] { return double(m_unknownKeys); });
    observe("flamingo_quota_admitted_total", "Requests of customers that were admitted.",
        [this] { return double(m_quotas.counters().m_admitted); });
    observe("flamingo_quota_refused_total", "Requests refused since the quota of their customer is exhausted.",
        [this] { return double(m_quotas.counters().m_refused); });
    observe("flamingo_quota_waited_total", "Requests that waited for a grant, since the quota was exhausted.",
        [this] { return double(m_quotas.counters().m_waited); });
    observe("flamingo_quota_datagrams_sent_total", "Datagrams about quotas sent to other VMs.",
        [this] { return double(m_quotas.counters().m_datagramsSent); });
    observe("flamingo_quota_datagrams_ignored_total",
        "Datagrams about quotas that are malformed or do not come from an entry VM.",
        [this] { return double(m_quotas.counters().m_datagramsIgnored); });
    metrics.observedGauge("flamingo_quota_buckets", "Customers whose quotas this VM owns.",
        [this] { return double(m_quotas.buckets()); });
    metrics.observedGauge("flamingo_quota_exhausted", "Of these customers, those whose quota is exhausted.",
        [this] { return double(m_quotas.exhaustedBuckets()); });
    observe("flamingo_endpoint_rate_limits_named_total", "Times that an endpoint began to name a rate limit.",
        [this] { return double(m_state.m_routing.m_rateLimitReport.m_named); });
    observe("flamingo_endpoint_rate_limits_ended_total", "Times that an endpoint ceased to name a rate limit.",
        [this] { return double(m_state.m_routing.m_rateLimitReport.m_ended); });
    observe("flamingo_endpoint_rate_limited_calls_total", "Calls to endpoints that named a rate limit.",
        [this] { return double(m_state.m_routing.m_rateLimitReport.m_calls); });
    observe("flamingo_endpoint_leaving_named_total", "Endpoints that said in an answer that they leave.",
        [this] { return double(m_leavingNamed); });
    observe("flamingo_endpoint_rate_limit_passed_over_total",
        "Times that an endpoint was not chosen, since this VM had sent its share of the rate limit.",
        [this] { return double(m_state.m_routing.m_rateLimitReport.m_passedOver); });
    observe("flamingo_forward_refused_for_room_total",
        "Requests refused at once, since more requests wait for the endpoints than they can serve in time.",
        [this] { return double(m_runner.counters().m_refusedForRoom); });
    observe("flamingo_forward_quarantined_total", "Requests refused since they have crashed endpoints.",
        [this] { return double(m_runner.counters().m_quarantined); });
    observe("flamingo_forward_examined_endpoints_total",
        "Endpoints examined after a lost connection, to find out whether they have ended.",
        [this] { return double(m_runner.crashCounters().m_examined); });
    observe("flamingo_forward_crash_reports_total", "Endpoints reported as ended while they ran a request.",
        [this] { return double(m_runner.crashCounters().m_reported); });
    observe("flamingo_forward_cleared_suspects_total", "Suspected requests that an endpoint survived later.",
        [this] { return double(m_runner.crashCounters().m_cleared); });
    metrics.observedGauge("flamingo_endpoints_cut_off", "1 while this VM cannot reach any endpoint.",
        [this] { return m_state.m_reachability.m_cutOff ? 1.0 : 0.0; });
    observe("flamingo_endpoints_cut_off_total", "Times that this VM lost its links to all endpoints.",
        [this] { return double(m_state.m_reachability.m_cutOffCount); });
    observe("flamingo_forward_relay_calls_total", "Calls to other VMs to serve requests while this VM is cut off.",
        [this] { return double(m_runner.counters().m_relayed); });
    observe("flamingo_forward_relays_served_total", "Requests served for VMs that are cut off from the endpoints.",
        [this] { return double(m_relaysServed); });
    observe("flamingo_forward_relays_refused_total", "Requests of cut-off VMs that this VM refused.",
        [this] { return double(m_relaysRefused); });
    observe("flamingo_forward_refused_while_stopping_total",
        "Requests refused since a planned stop left no time to serve them.",
        [this] { return double(m_refusedWhileStopping); });
    observe("flamingo_forward_handler_failures_total", "Requests answered with status 500 after an unexpected error.",
        [this] {
            return double(m_callerServer.counters().m_failedRequests + m_mergeServer.counters().m_failedRequests);
        });
    observe("flamingo_endpoint_connections_opened_total", "Connections opened to endpoints.",
        [this] { return double(m_endpointClient.counters().m_connectionsOpened); });
    observe("flamingo_endpoint_connections_lost_total", "Connections to endpoints that the endpoint closed or reset.",
        [this] { return double(m_endpointClient.counters().m_connectionsLost); });
}

} // namespace flamingo
