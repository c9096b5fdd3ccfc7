#pragma once

#include "forward/forwardsettings.h"
#include "routes/routeconfiguration.h"
#include "routes/routetable.h"
#include "routing/endpointchoice.h"
#include "routing/routingstate.h"

#include <map>
#include <memory>
#include <set>

namespace flamingo {

/** Everything that forwarding on one event loop knows and learns. Not for use from several threads. */
struct ForwardState {
    RoutingState m_routing;
    RouteTable m_routes;
    RouteHeader m_header;
    ForwardSettings m_settings;
    std::map<RouteKey, LatencyDistribution> m_latencies; // of the calls of each route
    RandomEngine m_random;

    // Second level of fan-outs, kept by updateMergers().
    RoutingState m_mergers; // owners of each group, as endpoints of the service mergeGroupName()
    std::size_t m_mergeGroups = 0; // 0 while all fan-outs have a single level
    std::uint64_t m_mergeSignature = 0; // of the VMs and routes that the owners were worked out from
    std::set<ServiceName> m_ownShards; // shards of the groups that this VM owns
    std::set<ServiceName> m_directServices; // services that routes name and that are not merged in two levels

    // How much later than planned answers have lately left at the goal.
    Microseconds m_goalLag { 2000 };
};

/** Returns a state for the VM; routing learns fast, since one of many VMs calls an endpoint a few times a second. */
ForwardState makeForwardState(const VmId& vm, const DataCentreName& dataCentre);

/**
 * Takes over a new published state with its endpoints and routes.
 *
 * The changes lead to it from the state before; null if they are not known.
 */
void applyForwardState(ForwardState& state, std::shared_ptr<const PublishedState> published, MonotonicTime now,
    const std::vector<Change>* changes);

/** Returns what is known about the service, with the budget that the number of entry VMs allows. */
ServiceStats& forwardStats(ForwardState& state, const ServiceName& service);

/** Returns how long a call of the route may run before a hedge is due. */
Microseconds forwardHedgeDelay(const ForwardState& state, const Route& route);

} // namespace flamingo
