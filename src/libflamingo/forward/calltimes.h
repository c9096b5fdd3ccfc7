#pragma once

#include "forward/forwardexecution.h"

namespace flamingo {

// Times of calls to other VMs. The functions are thread-safe.

/**
 * Returns when a call to a merging VM times out.
 *
 * A merging VM answers at the goal at the latest. If another full goal passes without a reply, the VM or the connection
 * has stalled.
 */
MonotonicTime mergerReplyDeadline(const ForwardExecution& execution, MonotonicTime now);

/**
 * Returns when a call to a VM that takes over the request times out. Precondition: the part is a relay.
 *
 * While attempts are left for a further VM, that is soon after the goal. Otherwise the caller keeps half of its time
 * for a request of its own to another VM. A request that may run only once is given all its time, since the caller
 * cannot send it again.
 */
MonotonicTime relayReplyDeadline(const ForwardExecution& execution, const ForwardPart& part, MonotonicTime now);

/** Returns the time after which a VM that is called now answers with what it has. */
Milliseconds goalLeftForVm(const MergeReserve& reserve, const ForwardExecution& execution, MonotonicTime now);

} // namespace flamingo
