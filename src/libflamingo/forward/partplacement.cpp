#include "forward/partplacement.h"

#include "forward/placement.h"

#include <vector>

namespace flamingo {

RoutingState& routingOfPart(ForwardState& state, const ForwardPart& part)
{
    if (part.m_relay || part.m_otherVm)
        return state.m_relays;
    return part.m_group.empty() ? state.m_routing : state.m_mergers;
}

EndpointChoice placePart(
    ForwardState& state, const Route& route, const ForwardPart& part, bool hedge, MonotonicTime now)
{
    static const std::vector<EndpointIndex> none;
    RoutingState& routing = routingOfPart(state, part);
    const auto& members = routing.m_table.m_members;
    const auto found = members.find(part.m_service);
    const std::vector<EndpointIndex>& replicas = found == members.end() ? none : found->second;
    const PlacementRequest request { typicalLatency(state, route), remotePenalty(route), replicas,
        part.m_triedEndpoints, hedge };
    return placeCall(routing, request, state.m_random, now);
}

const ServiceName& budgetService(const Route& route, const ForwardPart& part)
{
    if (part.m_relay)
        return route.m_shards.empty() ? route.m_targets.front().m_service : route.m_shards.front();
    return part.m_group.empty() ? part.m_service : part.m_group.front();
}

} // namespace flamingo
