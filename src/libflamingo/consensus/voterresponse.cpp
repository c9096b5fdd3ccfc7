#include "consensus/voterresponse.h"

#include "consensus/raftinternal.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace flamingo {

namespace {

struct SilentVoter {
    bool m_lost = false; // its data folder is known to be lost
    MonotonicTime m_since;
    MemberId m_id;
};

bool isReplacedBefore(const SilentVoter& a, const SilentVoter& b)
{
    return std::make_tuple(!a.m_lost, a.m_since, a.m_id) < std::make_tuple(!b.m_lost, b.m_since, b.m_id);
}

MonotonicTime silentSince(const RaftState& state, const MemberId& id)
{
    const auto progress = state.m_progress.find(id);
    if (progress == state.m_progress.end() || !progress->second.m_lastHeard)
        return state.m_leaderSince;
    return std::max(*progress->second.m_lastHeard, state.m_leaderSince);
}

} // namespace

VoterResponse voterResponse(const RaftState& state, MonotonicTime now)
{
    const Configuration& configuration = latestConfiguration(state.m_log);
    VoterResponse response;
    response.m_voters = voterCount(configuration);
    response.m_learners = configuration.m_members.size() - response.m_voters;
    response.m_quorum = quorumSize(configuration);
    std::vector<SilentVoter> silent;
    for (const MemberRecord& member : configuration.m_members) {
        if (member.m_voter && !detail::isActive(state, member.m_id, now))
            silent.push_back(
                { state.m_losses.m_lost.count(member.m_id) > 0, silentSince(state, member.m_id), member.m_id });
    }
    std::sort(silent.begin(), silent.end(), isReplacedBefore);
    for (const SilentVoter& voter : silent) {
        response.m_silent.push_back(voter.m_id);
        response.m_lost += voter.m_lost ? 1 : 0;
        if (voter.m_lost || now - voter.m_since >= state.m_options.m_voterResponseTimeout)
            response.m_unresponsive.push_back(voter.m_id);
    }
    return response;
}

} // namespace flamingo
