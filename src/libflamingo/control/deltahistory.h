#pragma once

#include "control/messages.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace flamingo {

/**
 * The changes of the last revisions, from which deltas are built.
 *
 * Not thread-safe.
 */
class DeltaHistory {
public:
    // At 0.54 changes/s this covers two hours, more than the reconnect of any VM after a failure.
    static constexpr std::size_t maximumRevisions = 4096;

    /** Forgets everything and starts at the state, after a snapshot was read. */
    void reset(const PublishedState& state);

    /** Adds the changes that led to the state. Precondition: its revision follows the last one. */
    void push(const PublishedState& state, std::vector<Change> changes);

    /**
     * Returns one delta from the base revision to the newest one, with only the last change of each
     * record; nothing when a full copy is needed since the base is too old, unknown or has another
     * digest there.
     */
    std::optional<Delta> deltaFrom(Revision base, std::uint64_t baseDigest) const;

    /** Returns the digest at the revision, or nothing when it is no longer kept. */
    std::optional<std::uint64_t> digestAt(Revision revision) const;

private:
    struct Step {
        Revision m_revision;
        ConfigurationVersion m_configurationVersion;
        std::uint64_t m_digest = 0;
        std::vector<Change> m_changes;
    };

    std::deque<Step> m_steps; // the first one is the oldest base and its changes are not used
};

} // namespace flamingo
