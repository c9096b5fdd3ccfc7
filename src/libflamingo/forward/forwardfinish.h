#pragma once

#include "forward/forwardexecution.h"

namespace flamingo {

/** Returns what a reply says about a merging VM. */
CallVerdict mergeVerdict(const EndpointReply& reply, bool wellFormed);

/** Returns what a reply says about its endpoint and whether it answers the request. */
CallVerdict forwardVerdict(const ForwardRequest& request, const Route& route, const EndpointReply& reply);

/**
 * Returns the final answer if it is due, else nothing.
 *
 * A fan-out is answered when all shards are, when the rest is lost and the floor is reached, from the goal on as soon
 * as the floor is reached, and at the deadline. It fails at once when the floor can no longer be reached.
 */
std::optional<ForwardAnswer> decideAnswer(const ForwardExecution& execution, MonotonicTime now);

} // namespace flamingo
