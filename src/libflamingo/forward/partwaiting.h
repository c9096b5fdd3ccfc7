#pragma once

#include "forward/forwardexecution.h"

#include <optional>

namespace flamingo {

/** Returns the queue in which the part waits for an endpoint or a merging VM. */
WaitingQueue& queueOf(ForwardState& state, const ForwardPart& part);

/** Puts the part into its queue, unless it waits already. */
void beginWaiting(ForwardState& state, const ForwardExecution& execution, ForwardPart& part, MonotonicTime now);

/** Takes the part out of its queue, since it is served now. Does nothing if it does not wait. */
void endWaiting(ForwardState& state, const ForwardExecution& execution, ForwardPart& part, MonotonicTime now);

/** Takes the part out of its queue, since it waits no longer. Does nothing if it does not wait. */
void abandonWaiting(ForwardState& state, const ForwardExecution& execution, ForwardPart& part);

/**
 * Returns when the caller is to come back if the part would certainly wait in vain, or nothing if it may be served.
 *
 * Handles a queue that is too long for the time left. Only for a request without shards: a fan-out is not refused for
 * one of its shards, since its other calls have been sent. Precondition: the request has not been sent anywhere.
 */
std::optional<Milliseconds> timeUntilRoomFor(
    ForwardState& state, const ForwardExecution& execution, const ForwardPart& part, MonotonicTime now);

} // namespace flamingo
