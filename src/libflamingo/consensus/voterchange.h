#pragma once

#include "base/time.h"
#include "consensus/memberrecord.h"
#include "consensus/raftstate.h"

#include <optional>

namespace flamingo {

/** A change of a single voter that a leader makes without an operator. */
struct VoterChange {
    enum class Kind {
        Promote, // a learner becomes a voter
        Remove, // a voter leaves the configuration
    };

    Kind m_kind = Kind::Promote;
    MemberId m_member;
};

/**
 * Returns the change of the voters that this leader should make next, or nothing.
 *
 * The change may still be refused if it could not be committed. Preconditions: the state is that of a leader, and its
 * latest configuration is committed. Thread-safe for concurrent readers.
 */
std::optional<VoterChange> nextVoterChange(const RaftState& state, MonotonicTime now);

} // namespace flamingo
