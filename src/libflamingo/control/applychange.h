#pragma once

#include "control/messages.h"
#include "control/publishedstate.h"

namespace flamingo {

/**
 * Upserts or erases one record and updates the record sum.
 *
 * Does not change the revision or the configuration version. Erasing a record that does not exist has no effect.
 * Not thread-safe for one state.
 */
void applyChange(PublishedState& state, const Change& change);

/**
 * Applies all changes of a delta and moves the state to the delta's revision.
 *
 * Precondition: the state is at the delta's base revision. Returns whether the digest of the resulting
 * state equals the one in the delta; if not, the state must be discarded.
 */
bool applyDelta(PublishedState& state, const Delta& delta);

} // namespace flamingo
