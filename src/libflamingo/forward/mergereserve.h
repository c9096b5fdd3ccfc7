#pragma once

#include "base/time.h"

namespace flamingo {

/**
 * How long before the entry VM must answer, merging VMs are told to answer with what they have.
 *
 * Their answers take some time to arrive and to be read one after the other. With too short a reserve an answer comes
 * too late and all shards of its group are missing, with too long a one the slow shards of each group are. So the
 * reserve follows a high quantile of the delays of answers that were sent when they were due. Handles the load of
 * fan-outs whose goal is short for the processor time of a VM. A plain value, used on one event loop.
 */
struct MergeReserve {
    Microseconds m_value { 6000 }; // the initial value serves until answers have been seen
};

/** Learns from an answer that arrived this long after it was due. Precondition: the delay is not negative. */
void learnMergeDelay(MergeReserve& reserve, Microseconds delay);

/** Returns the reserve for a fan-out that must be answered after the given time. Thread-safe. */
Milliseconds mergeReserveWithin(const MergeReserve& reserve, MonotonicClock::duration timeLeft);

} // namespace flamingo
