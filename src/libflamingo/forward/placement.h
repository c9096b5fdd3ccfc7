#pragma once

#include "forward/forwardstate.h"

#include <vector>

namespace flamingo {

/** Criteria for choosing the endpoint of a call. */
struct PlacementRequest {
    Microseconds m_typicalLatency { 0 }; // of calls of the route
    Microseconds m_remotePenalty { 0 }; // added to the expected time of an endpoint in another data centre
    const std::vector<EndpointIndex>& m_replicas; // endpoints of the service
    const std::vector<EndpointIndex>& m_excluded; // already tried, not chosen again
    bool m_hedge = false; // a hedge must not fall back to an ejected endpoint
};

/**
 * Chooses the endpoint that is expected to answer first.
 *
 * The expected time is the recent latency of the endpoint, scaled up by this VM's calls in flight to it. Recent
 * refusals or failures, calls that make no progress and another data centre add to it. Observations decay within
 * seconds, so that an endpoint that was avoided is tried again. One that has just started or recovered gets calls by a
 * slow start, see SlowStart.
 *
 * Handles replicas that pause, slow down or refuse some of their calls while another replica of the shard works.
 */
EndpointChoice placeCall(
    RoutingState& routing, const PlacementRequest& request, RandomEngine& random, MonotonicTime now);

/**
 * Returns the penalty for calling an endpoint in another data centre.
 *
 * Traffic between data centres is charged, and a fan-out sends a request to every shard. So its calls stay in the own
 * data centre unless a replica there is expected to use up a fifth of the goal more. Calls to a single service are few,
 * and balance across its endpoints matters more.
 */
Microseconds remotePenalty(const Route& route);

/** Returns the median latency of the route's calls, or a default before the first ones have ended. */
Microseconds typicalLatency(const ForwardState& state, const Route& route);

} // namespace flamingo
