#pragma once

#include "forward/forwardexecution.h"

namespace flamingo {

/** Returns how the reply of a merging VM counts in its statistics. */
CallVerdict mergeVerdict(const EndpointReply& reply, bool wellFormed);

/** Returns how a reply counts in the endpoint's statistics; CallVerdict::Answered if it answers the request. */
CallVerdict forwardVerdict(const ForwardRequest& request, const Route& route, const EndpointReply& reply);

/** Returns the refusal of a request that crashes endpoints. */
ForwardAnswer quarantineAnswer(const ForwardExecution& execution);

/** Returns how many shards an answer to a fan-out needs. Precondition: the request has its route. */
std::uint32_t minAnsweredShards(const ForwardExecution& execution);

/**
 * Returns the answer if it is due, else nothing.
 *
 * A fan-out with the minimum answered share is answered as soon as no shard is open, or the goal or the deadline has
 * passed. It fails at once when the share can no longer be reached, and at the deadline if it has not been reached.
 */
std::optional<ForwardAnswer> decideAnswer(const ForwardExecution& execution, MonotonicTime now);

} // namespace flamingo
