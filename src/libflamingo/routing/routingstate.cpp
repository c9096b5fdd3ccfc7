#include "routing/routingstate.h"

#include "base/hash.h"

#include <algorithm>

namespace flamingo {

RoutingState makeRoutingState(const RoutingSettings& settings)
{
    RoutingState routing;
    routing.m_settings = settings;
    routing.m_table.m_vmHash = hashBytes(settings.m_vm.value());
    return routing;
}

void applyPublishedState(RoutingState& routing, std::shared_ptr<const PublishedState> state, MonotonicTime now,
    const std::vector<Change>* changes)
{
    // The age of the endpoints in the first state is unknown, so they are not ramped up.
    const bool first = routing.m_state == nullptr;
    const auto onArrival = [&](EndpointIndex index) {
        if (index.value() >= routing.m_endpoints.size())
            routing.m_endpoints.resize(index.value() + 1);
        EndpointStats& stats = routing.m_endpoints[index.value()];
        stats = EndpointStats();
        stats.m_generation = ++routing.m_lastGeneration;
        if (!first)
            beginSlowStart(stats.m_slowStart, routing.m_settings.m_slowStart, now);
    };
    if (changes && !first)
        updateRoutingTable(routing.m_table, *state, *changes, onArrival);
    else
        reconcileRoutingTable(routing.m_table, *state, onArrival);
    routing.m_state = std::move(state);
    for (auto& [name, stats] : routing.m_services) {
        if (const ServiceRoutes* service = findService(routing.m_table, name))
            stats.m_budget.m_fraction = service->m_definition.m_extraLoadBudget;
    }
}

ServiceStats& serviceStats(RoutingState& routing, const ServiceName& service)
{
    const auto [position, added] = routing.m_services.try_emplace(service);
    ServiceStats& stats = position->second;
    if (added) {
        stats.m_latency.m_window = routing.m_settings.m_latencyWindow;
        stats.m_budget.m_burst = routing.m_settings.m_budgetBurst;
        stats.m_budget.m_tokens = routing.m_settings.m_budgetBurst;
        stats.m_refusalBudget.m_fraction = routing.m_settings.m_refusalReplacementFraction;
        stats.m_refusalBudget.m_burst = routing.m_settings.m_budgetBurst;
        stats.m_refusalBudget.m_tokens = routing.m_settings.m_budgetBurst;
        if (const ServiceRoutes* routes = findService(routing.m_table, service))
            stats.m_budget.m_fraction = routes->m_definition.m_extraLoadBudget;
    }
    return stats;
}

void waitForShard(RoutingState& routing, const ServiceName& service, const ShardHolding& shard, ExecutionId execution)
{
    auto& queue = serviceStats(routing, service).m_waiting[{ shard.m_version, shard.m_layout, shard.m_shard }];
    if (std::find(queue.begin(), queue.end(), execution) == queue.end())
        queue.push_back(execution);
}

void stopWaiting(RoutingState& routing, const ServiceName& service, const ShardHolding& shard, ExecutionId execution)
{
    auto& waiting = serviceStats(routing, service).m_waiting;
    const auto position = waiting.find({ shard.m_version, shard.m_layout, shard.m_shard });
    if (position == waiting.end())
        return;
    auto& queue = position->second;
    queue.erase(std::remove(queue.begin(), queue.end(), execution), queue.end());
    if (queue.empty())
        waiting.erase(position);
}

std::optional<ExecutionId> nextWaiting(const RoutingState& routing, EndpointIndex endpoint)
{
    if (endpoint.value() >= routing.m_table.m_endpoints.size())
        return std::nullopt;
    const EndpointRoute& route = routing.m_table.m_endpoints[endpoint.value()];
    const auto service = routing.m_services.find(route.m_service);
    if (service == routing.m_services.end())
        return std::nullopt;
    // Ids increase with time, so the smallest id at the head of a queue has waited longest.
    std::optional<ExecutionId> oldest;
    if (route.m_routed)
        oldest = nextWaiting(service->second.m_routedQueue);
    for (const ShardHolding& holding : route.m_holdings) {
        const auto queue = service->second.m_waiting.find({ holding.m_version, holding.m_layout, holding.m_shard });
        if (queue != service->second.m_waiting.end() && (!oldest || queue->second.front() < *oldest))
            oldest = queue->second.front();
    }
    return oldest;
}

void learnLeaving(RoutingState& routing, const EndpointLifetime& endpoint)
{
    if (recordLeaving(routing.m_table, *routing.m_state, endpoint.m_id, endpoint.m_incarnation))
        routing.m_newlyLeaving.push_back(endpoint);
}

void forgetFailuresSince(RoutingState& routing, MonotonicTime since)
{
    for (EndpointStats& stats : routing.m_endpoints) {
        if (stats.m_failureRateAt >= since)
            stats.m_failureRate = 0.0;
        if (!stats.m_ejected || stats.m_ejectedAt < since)
            continue;
        stats.m_ejected = false;
        stats.m_ejection = Milliseconds(0);
        stats.m_consecutiveFailures = 0;
        stats.m_consecutiveLostRaces = 0;
    }
}

EndpointStats* statsOf(RoutingState& routing, EndpointIndex endpoint, std::uint64_t generation)
{
    if (endpoint.value() >= routing.m_endpoints.size())
        return nullptr;
    EndpointStats& stats = routing.m_endpoints[endpoint.value()];
    return stats.m_generation == generation ? &stats : nullptr;
}

} // namespace flamingo
