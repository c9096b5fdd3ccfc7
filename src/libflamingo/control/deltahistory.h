#pragma once

#include "control/messages.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

namespace flamingo {

/** Keeps the changes of the last revisions and builds deltas from them. Not thread-safe. */
class DeltaHistory {
public:
    // Covers two hours at 0.54 changes/s, which is longer than any VM takes to reconnect after a failure.
    static constexpr std::size_t maxRevisions = 4096;

    /** Drops all changes and starts at the given state, for use after a snapshot was restored. */
    void reset(const PublishedState& state);

    /** Adds the changes that led to the state. Precondition: the revision of the state is the last one plus one. */
    void push(const PublishedState& state, std::vector<Change> changes);

    /**
     * Returns one delta from the base revision to the newest one, with only the last change of each record.
     * Returns nothing if a full copy is needed because the base is too old, unknown or has another digest.
     */
    std::optional<Delta> deltaFrom(Revision base, std::uint64_t baseDigest) const;

    /** Returns the digest at the revision, or nothing if the revision is not kept. */
    std::optional<std::uint64_t> digestAt(Revision revision) const;

private:
    struct Step {
        Revision m_revision;
        ConfigurationVersion m_configurationVersion;
        std::uint64_t m_digest = 0;
        std::vector<Change> m_changes;
    };

    std::deque<Step> m_steps; // by revision; the first one is the oldest base, and its changes are not used
};

} // namespace flamingo
