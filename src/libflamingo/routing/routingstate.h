#pragma once

#include "base/ids.h"
#include "endpoint/endpointlifetime.h"
#include "routing/endpointratelimit.h"
#include "routing/endpointstats.h"
#include "routing/extraloadbudget.h"
#include "routing/latencydistribution.h"
#include "routing/routingsettings.h"
#include "routing/routingtable.h"
#include "routing/waitingqueue.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <tuple>
#include <vector>

namespace flamingo {

/** Counters of one service since the daemon started. */
struct RoutingCounters {
    std::uint64_t m_firstAttempts = 0;
    std::uint64_t m_hedges = 0;
    std::uint64_t m_retries = 0;
    std::uint64_t m_canaryDuplicates = 0;
    std::uint64_t m_refusalsReplaced = 0; // calls sent again without a token after a refusal
    std::uint64_t m_droppedReplies = 0; // late, or for another request, attempt, snapshot, layout or shard
    std::uint64_t m_malformedReplies = 0;
    std::uint64_t m_shed = 0; // calls that endpoints refused without running them
    std::uint64_t m_restarts = 0; // queries started over on another snapshot
    std::uint64_t m_deaths = 0; // suspected endpoint crashes reported to the control VMs
};

/** Statistics, budgets and waiting executions of one service at this daemon. */
struct ServiceStats {
    LatencyDistribution m_latency;
    ExtraLoadBudget m_budget;
    ExtraLoadBudget m_refusalBudget; // for calls sent again after a refusal
    RoutingCounters m_counters;
    // Executions that wait for a free replica of a shard, in order of arrival.
    std::map<std::tuple<SnapshotVersion, LayoutId, ShardIndex>, std::deque<ExecutionId>> m_waiting;
    WaitingQueue m_routedQueue; // forwarded requests, which wait for any endpoint of the service
};

/** Routing data of one event loop: published state, routing table and statistics. Not thread-safe. */
struct RoutingState {
    RoutingSettings m_settings;
    std::shared_ptr<const PublishedState> m_state;
    RoutingTable m_table;
    std::vector<EndpointStats> m_endpoints; // by EndpointIndex
    std::uint64_t m_lastGeneration = 0; // newest EndpointStats::m_generation
    std::map<ServiceName, ServiceStats> m_services;
    RateLimitReport m_rateLimitReport;
    std::vector<EndpointLifetime> m_newlyLeaving; // endpoints that said so in an answer since the owner last looked
};

/** Returns a state without endpoints for the daemon that the settings name. */
RoutingState makeRoutingState(const RoutingSettings& settings);

/**
 * Applies a new published state. Endpoints that arrive after the first state are ramped up.
 *
 * Preconditions: state is not null; changes, unless null, lead from the current revision to the state. With
 * changes the cost is microseconds per change; without them all records are compared.
 */
void applyPublishedState(RoutingState& routing, std::shared_ptr<const PublishedState> state, MonotonicTime now,
    const std::vector<Change>* changes = nullptr);

/** Returns the data of the service; creates it with the configured budgets on first use. */
ServiceStats& serviceStats(RoutingState& routing, const ServiceName& service);

/** Adds the execution to those waiting for the shard, unless it is among them. */
void waitForShard(RoutingState& routing, const ServiceName& service, const ShardHolding& shard, ExecutionId execution);

/** Removes the execution from those waiting for the shard. */
void stopWaiting(RoutingState& routing, const ServiceName& service, const ShardHolding& shard, ExecutionId execution);

/**
 * Returns the execution that an endpoint with room serves next, or nullopt: of those that wait for a shard of it, the
 * one that has waited longest; of forwarded requests, the one that is next in their queue.
 */
std::optional<ExecutionId> nextWaiting(const RoutingState& routing, EndpointIndex endpoint);

/** Stops calls to an endpoint that says in its answers that it leaves. Precondition: a state was applied. */
void learnLeaving(RoutingState& routing, const EndpointLifetime& endpoint);

/** Readmits endpoints ejected since the time and forgets their failures, which were not theirs. */
void forgetFailuresSince(RoutingState& routing, MonotonicTime since);

/** Returns the statistics of the endpoint, or null if they are of another generation. */
EndpointStats* statsOf(RoutingState& routing, EndpointIndex endpoint, std::uint64_t generation);

} // namespace flamingo
