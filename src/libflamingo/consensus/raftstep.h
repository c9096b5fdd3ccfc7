#pragma once

#include "base/time.h"
#include "consensus/effects.h"
#include "consensus/raftevent.h"
#include "consensus/raftstate.h"

namespace flamingo {

/**
 * Processes one event and returns the effects that the caller has to execute, in order.
 *
 * Deterministic: time and randomness come from the arguments. Precondition: the effects of the previous step were
 * executed. Thread safety: one thread at a time for each state.
 */
Effects step(RaftState& state, const RaftEvent& event, MonotonicTime now);

} // namespace flamingo
