#pragma once

#include "base/time.h"
#include "consensus/memberrecord.h"
#include "consensus/raftstate.h"

#include <cstddef>
#include <vector>

namespace flamingo {

/** How the voters answer the leader. */
struct VoterResponse {
    std::size_t m_voters = 0;
    std::size_t m_learners = 0;
    std::size_t m_quorum = 0; // number of voters that form a majority
    // Voters that have not answered for RaftOptions::m_voterResponseTimeout or whose data folders are known to be lost.
    // The latter come first, and of the others the one silent for longest.
    std::vector<MemberId> m_unresponsive;
    // Voters that have not answered for RaftOptions::m_electionTimeout, the unresponsive ones first.
    std::vector<MemberId> m_silent;
    std::size_t m_lost = 0; // number of them whose data folders are known to be lost
};

/**
 * Returns how the voters of the latest configuration answer this leader.
 *
 * A voter that has not answered since the leader was elected counts as silent from then on. Precondition: the state is
 * that of a leader. Thread-safe for concurrent readers.
 */
VoterResponse voterResponse(const RaftState& state, MonotonicTime now);

} // namespace flamingo
