#pragma once

#include "base/ids.h"
#include "routing/endpointstats.h"
#include "routing/extraloadbudget.h"
#include "routing/latencydistribution.h"
#include "routing/routingsettings.h"
#include "routing/routingtable.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <tuple>
#include <vector>

namespace flamingo {

// Number of an execution at this daemon, never reused.
using ExecutionId = StrongValue<struct ExecutionIdTag, std::uint64_t>;

/** Counts of one service since the daemon started. */
struct RoutingCounters {
    std::uint64_t m_firstAttempts = 0;
    std::uint64_t m_hedges = 0;
    std::uint64_t m_retries = 0;
    std::uint64_t m_canaryDuplicates = 0;
    std::uint64_t m_refusalsReplaced = 0; // calls sent without a token in place of refused ones
    std::uint64_t m_droppedReplies = 0; // late, or of another request, attempt, snapshot, layout or shard
    std::uint64_t m_malformedReplies = 0;
    std::uint64_t m_shed = 0;
    std::uint64_t m_restarts = 0; // on another snapshot
    std::uint64_t m_deaths = 0; // reported as suspected crashes
};

/** What this daemon has learned about one service. */
struct ServiceStats {
    LatencyDistribution m_latency;
    ExtraLoadBudget m_budget;
    ExtraLoadBudget m_refusalBudget; // for calls in place of refused ones
    RoutingCounters m_counters;
    // Executions that wait for a free replica of a shard, the longest waiting first.
    std::map<std::tuple<SnapshotVersion, LayoutId, ShardIndex>, std::deque<ExecutionId>> m_waiting;
};

/** Everything that routing on one event loop knows and learns. Not for use from several threads. */
struct RoutingState {
    RoutingSettings m_settings;
    std::shared_ptr<const PublishedState> m_state;
    RoutingTable m_table;
    std::vector<EndpointStats> m_endpoints; // by EndpointIndex
    std::uint64_t m_arrivals = 0; // endpoints and incarnations seen
    std::map<ServiceName, ServiceStats> m_services;
};

/** Sets the names of this daemon and its data centre, which the settings carry. */
RoutingState makeRoutingState(const RoutingSettings& settings);

/**
 * Takes over a new published state. Endpoints that arrive after the first state are ramped up.
 *
 * Precondition: state is not null. With the changes of a delta that starts at the current revision the
 * cost is microseconds; without them all records are compared.
 */
void applyPublishedState(RoutingState& routing, std::shared_ptr<const PublishedState> state, MonotonicTime now,
    const std::vector<Change>* changes = nullptr);

/** Returns what is known about the service, with its budget as configured. */
ServiceStats& serviceStats(RoutingState& routing, const ServiceName& service);

/** Enters the execution as waiting for the shard, once. */
void waitForShard(RoutingState& routing, const ServiceName& service, const ShardHolding& shard, ExecutionId execution);

/** Removes the execution from those waiting for the shard. */
void stopWaiting(RoutingState& routing, const ServiceName& service, const ShardHolding& shard, ExecutionId execution);

/** Returns the execution that has waited longest for a shard of the endpoint, which now has capacity. */
std::optional<ExecutionId> longestWaiting(const RoutingState& routing, EndpointIndex endpoint);

/** Returns the statistics of the endpoint if they still are of that generation, else null. */
EndpointStats* statsOf(RoutingState& routing, EndpointIndex endpoint, std::uint64_t generation);

} // namespace flamingo
