#pragma once

#include "base/time.h"
#include "consensus/effects.h"
#include "consensus/raftevent.h"
#include "consensus/raftstate.h"

namespace flamingo {

/**
 * Advances the member by one event and returns what has to be carried out, in order.
 *
 * Deterministic; time and randomness come from the arguments. Precondition: the effects of the step before were
 * carried out. Thread safety: one thread at a time for each state.
 */
Effects step(RaftState& state, const RaftEvent& event, MonotonicTime now);

} // namespace flamingo
