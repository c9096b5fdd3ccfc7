#include "consensus/raftinternal.h"

namespace flamingo::detail {

// A change of the voters needs a quorum of the voters before it and one of those after it, until it is known to be
// committed. With majorities alone the latter would do, since majorities of numbers of voters that differ by one have a
// voter in common; half of the voters before the change and a majority of those after it may have none.
//
// A member knows that a change is committed from the commit index or from a later configuration with the same voters:
// a leader makes no change before the last one is committed, and appends each committed change once more. So a member
// that restarts, and does not know its commit index yet, does not depend on voters of the past.
//
// If the number of losses to survive is not known, majorities are the only quorums and each change is one of a single
// voter. The former voters are not needed then, and one of them may be lost before the change is committed.

const Configuration* previousVoters(const RaftState& state)
{
    const auto& configurations = state.m_log.m_configurations;
    if (state.m_losses.m_tolerated == 0 || configurations.size() < 2
        || configurations.back().first <= state.m_commitIndex)
        return nullptr;
    const Configuration& previous = configurations[configurations.size() - 2].second;
    return voterCount(previous) > 0 && !hasSameVoters(previous, configurations.back().second) ? &previous : nullptr;
}

void noteLostVoter(RaftState& state, const MemberId& lost)
{
    const Configuration* previous = previousVoters(state);
    if (isVoter(latestConfiguration(state.m_log), lost) || (previous && isVoter(*previous, lost)))
        state.m_losses.m_lost.insert(lost);
}

} // namespace flamingo::detail
