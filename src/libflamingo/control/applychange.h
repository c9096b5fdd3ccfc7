#pragma once

#include "control/messages.h"
#include "control/publishedstate.h"

namespace flamingo {

/**
 * Upserts or erases one record and adjusts the record sum.
 *
 * Leaves revision and configuration version alone. Erasing a record that is not there has no effect.
 * Not thread-safe for one state.
 */
void applyChange(PublishedState& state, const Change& change);

/**
 * Applies all changes of a delta and moves the state to the delta's revision.
 *
 * Precondition: the state is at the delta's base revision. Returns whether the digest of the state
 * afterwards is the one in the delta; if not, the state must be discarded.
 */
bool applyDelta(PublishedState& state, const Delta& delta);

} // namespace flamingo
