#pragma once

#include "forward/forwardstate.h"

#include <vector>

namespace flamingo {

/** What a call needs of an endpoint. */
struct PlacementRequest {
    Microseconds m_typicalLatency { 0 }; // of such calls
    const std::vector<EndpointIndex>& m_replicas; // endpoints of the service
    const std::vector<EndpointIndex>& m_excluded; // tried already
    bool m_hedge = false; // must not go to an endpoint that is taken for lost
};

/**
 * Chooses the endpoint that is expected to answer first.
 *
 * The expectation is the latency seen lately, longer by the calls of this VM that are in flight there. An endpoint
 * that has refused or failed calls lately, that keeps all its calls waiting, that is still cold or that lies in
 * another data centre counts as slower. What was seen fades within seconds, so that an endpoint that was avoided is
 * tried again.
 *
 * Load that this answers: replicas that pause, that are slowed down or that refuse a part of their calls, while the
 * other replica of the shard works.
 */
EndpointChoice placeCall(
    RoutingState& routing, const PlacementRequest& request, RandomEngine& random, MonotonicTime now);

/** Returns how long a call of the route lasts as a rule. */
Microseconds typicalLatency(const ForwardState& state, const Route& route);

} // namespace flamingo
