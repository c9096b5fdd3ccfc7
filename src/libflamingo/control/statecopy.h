#pragma once

#include "control/messages.h"
#include "control/publishedstate.h"

#include <memory>
#include <vector>

namespace flamingo {

/** What became of a state that arrived. */
enum class StateUpdate {
    Applied,
    Stale, // not newer than the state that is there
    Mismatch, // does not follow it or has another digest; a full copy is needed
};

/**
 * The published state on an entry VM.
 *
 * Readers share the current state. A second copy is brought up to date in place once nobody reads it
 * any more, so that a delta costs time in proportion to its changes and not to the whole state.
 * Thread safety: none for this object; the states it hands out may be read on any thread.
 */
class StateCopy {
public:
    StateCopy();

    /** Returns the current state, never null. It is at revision 0 before the first copy. */
    const std::shared_ptr<const PublishedState>& current() const { return m_current; }

    /** Returns the digest of the current state, 0 before the first copy. */
    std::uint64_t digest() const { return m_digest; }

    /** Returns the changes from the state before to the current one; null after a full copy. Valid until the next
     * take(). */
    const std::vector<Change>* lastChanges() const { return m_missing.empty() ? nullptr : &m_missing.back().m_changes; }

    /** Replaces the state unless it is older than the current one. */
    StateUpdate take(FullCopy copy);
    /** Applies the delta; on a mismatch the current state stays. */
    StateUpdate take(Delta delta);

private:
    std::shared_ptr<PublishedState> takeSpare();

    std::shared_ptr<const PublishedState> m_current;
    std::uint64_t m_digest = 0;
    std::shared_ptr<PublishedState> m_spare; // an earlier state
    std::vector<Delta> m_missing; // lead from the spare to the current state
};

} // namespace flamingo
