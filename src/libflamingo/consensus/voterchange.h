#pragma once

#include "base/time.h"
#include "consensus/memberrecord.h"
#include "consensus/raftstate.h"

#include <optional>
#include <vector>

namespace flamingo {

/** A change of the voters that a leader makes without an operator. */
struct VoterChange {
    std::vector<MemberId> m_removed; // voters that leave the configuration
    std::optional<MemberId> m_promoted; // learner that becomes a voter
};

/**
 * Returns the change of the voters that this leader should make next, or nothing.
 *
 * The change may still be refused if it could not be committed. Preconditions: the state is that of a leader, and its
 * latest configuration is committed. Thread-safe for concurrent readers.
 */
std::optional<VoterChange> nextVoterChange(const RaftState& state, MonotonicTime now);

} // namespace flamingo
