#pragma once

#include "control/messages.h"
#include "control/publishedstate.h"

#include <memory>
#include <vector>

namespace flamingo {

/** Result of a state update. */
enum class StateUpdate {
    Applied,
    Stale, // the update is not newer than the current state
    Mismatch, // the update does not follow the current state or its digest differs; a full copy is needed
};

/**
 * The published state on an entry VM.
 *
 * Readers share the current state. A second copy is updated in place once it has no readers, so that the cost of a
 * delta is proportional to its changes and not to the size of the state.
 * Thread safety: none for this object; the states it returns may be read on any thread.
 */
class StateCopy {
public:
    StateCopy();

    /** Returns the current state, never null. It is at revision 0 before the first copy. */
    const std::shared_ptr<const PublishedState>& current() const { return m_current; }

    /** Returns the digest of the current state, 0 before the first copy. */
    std::uint64_t digest() const { return m_digest; }

    /** Returns the changes from the previous state to the current one; null after a full copy. Valid until the next
     * update(). */
    const std::vector<Change>* lastChanges() const
    {
        return m_deltasSinceSpare.empty() ? nullptr : &m_deltasSinceSpare.back().m_changes;
    }

    /** Replaces the state unless it is older than the current one or its digest is wrong. */
    StateUpdate update(FullCopy copy);
    /** Applies the delta; on a mismatch the current state is kept. */
    StateUpdate update(Delta delta);

private:
    /** Returns a copy of the current state that has no readers: the spare with the missing deltas, or a new copy. */
    std::shared_ptr<PublishedState> makeMutableCopy();

    std::shared_ptr<const PublishedState> m_current;
    std::uint64_t m_digest = 0;
    std::shared_ptr<PublishedState> m_spare; // an earlier state, which readers may still hold
    std::vector<Delta> m_deltasSinceSpare; // deltas from the spare to the current state
};

} // namespace flamingo
