#pragma once

#include "forward/forwardexecution.h"
#include "forward/forwardstate.h"

namespace flamingo {

// Choice of the endpoint or VM for a call of a part. Not thread-safe: the functions use the state of one event loop.

/** Returns the routing state that holds the part's endpoints, owners of its group or VMs to relay to. */
RoutingState& routingOfPart(ForwardState& state, const ForwardPart& part);

/** Chooses where to send the part's next call. Those that were tried are not chosen again. */
EndpointChoice placePart(
    ForwardState& state, const Route& route, const ForwardPart& part, bool hedge, MonotonicTime now);

/**
 * Returns the service whose extra-load budget pays for further calls of the part.
 *
 * A further call to a VM repeats the calls to all its shards. These get the same requests, so the first one represents
 * them all.
 */
const ServiceName& budgetService(const Route& route, const ForwardPart& part);

} // namespace flamingo
