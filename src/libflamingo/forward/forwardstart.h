#pragma once

#include "forward/forwardexecution.h"

namespace flamingo {

// Start of a forwarded request. The functions are not thread-safe: they use the state of one event loop.

/** Sets the times of the partial and the final answer. Precondition: the request has its route. */
void setDeadlines(const ForwardState& state, ForwardExecution& execution);

/**
 * Adds the parts of the request: one for each shard or group of shards, one for the chosen service of a route without
 * shards, or one for a VM that serves the whole request. Precondition: the execution has no parts.
 */
void makeParts(ForwardState& state, ForwardExecution& execution);

/** Returns whether another VM should serve the request. A request is relayed once; merging VMs are chosen anyway. */
bool mayRelay(const ForwardState& state, const ForwardRequest& request);

} // namespace flamingo
