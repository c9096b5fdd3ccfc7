#pragma once

#include "customers/customertable.h"
#include "forward/crashwatch.h"
#include "forward/forwardsettings.h"
#include "forward/mergereserve.h"
#include "forward/reachability.h"
#include "routes/routeconfiguration.h"
#include "routes/routetable.h"
#include "routing/endpointchoice.h"
#include "routing/fingerprintmemory.h"
#include "routing/routingstate.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace flamingo {

/** Routes, endpoints and learned statistics of the forwarding on one event loop. Not thread-safe. */
struct ForwardState {
    RoutingState m_routing;
    RouteTable m_routes;
    RouteHeader m_header; // version and caller limits of m_routes
    CustomerTable m_customers;
    ForwardSettings m_settings;
    std::map<RouteKey, LatencyDistribution> m_latencies; // of the calls of each route, for hedge delays
    FingerprintMemory m_fingerprints; // requests that endpoints survived, and those that may crash them
    CrashWatch m_crashWatch;
    std::map<Fingerprint, MonotonicTime> m_nextTrials; // of quarantined requests, by key
    // Keys of quarantines that the control VMs should clear, since the owner last looked.
    std::vector<Fingerprint> m_refutedQuarantines;
    RandomEngine m_random;

    // Two-level fan-outs, see mergeplan.h. Updated by updateMergers().
    RoutingState m_mergers; // owners of each group, as endpoints of the service mergeGroupName(group)
    std::size_t m_mergeGroups = 0; // number of groups; 0 while all fan-outs have a single level
    std::uint64_t m_mergeInputHash = 0; // hash of the VMs and routes that the owners were computed from
    std::set<ServiceName> m_ownShards; // shards of the groups that this VM owns
    std::set<ServiceName> m_directServices; // services of routes that are not merged in two levels

    EndpointReachability m_reachability;
    RoutingState m_relays; // VMs that may serve requests of this one, see relayplan.h. Updated by updateRelays().

    std::optional<MonotonicTime> m_answerAllBy; // in a planned stop: no request is left without an answer then

    MergeReserve m_mergeReserve;

    // Recent delay between the planned and the actual time of answers that were due at the goal.
    Microseconds m_goalLag { 2000 };
};

/**
 * Returns an initial state for the VM.
 *
 * Routing statistics react to few samples, since each of the many VMs calls an endpoint only a few times a second.
 */
ForwardState makeForwardState(const VmId& vm, const DataCentreName& dataCentre);

/**
 * Applies a new published state with its endpoints and routes.
 *
 * The changes are those since the previous state; null if they are not known, which replaces all routes.
 */
void applyForwardState(ForwardState& state, std::shared_ptr<const PublishedState> published, MonotonicTime now,
    const std::vector<Change>* changes);

/** Returns the statistics of the service, with its extra-load budget adjusted to the number of entry VMs. */
ServiceStats& forwardStats(ForwardState& state, const ServiceName& service);

/** Returns how long a call of the route may run before a hedge is due. */
Microseconds forwardHedgeDelay(const ForwardState& state, const Route& route);

/**
 * Returns when a caller that is refused for lack of room is to come back, not before the given time.
 *
 * The times are spread over as long again, so that those that are refused together do not return together.
 */
Milliseconds spreadRetryAfter(ForwardState& state, Milliseconds roomAfter);

/**
 * Returns how long a call may run before a hedge to another data centre is due.
 *
 * Traffic between data centres is charged, and most calls that are slow for a moment end soon after. So such a hedge
 * waits longer, by up to a fifth of the goal, as long as its answer is still expected in the time left.
 */
Microseconds remoteHedgeDelay(const ForwardState& state, const Route& route, MonotonicClock::duration timeLeft);

} // namespace flamingo
