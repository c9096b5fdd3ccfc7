#include "consensus/voterresponse.h"

#include <algorithm>
#include <utility>

namespace flamingo {

namespace {

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
    std::vector<std::pair<MonotonicTime, MemberId>> unresponsive;
    for (const MemberRecord& member : configuration.m_members) {
        if (!member.m_voter || member.m_id == state.m_self)
            continue;
        const MonotonicTime since = silentSince(state, member.m_id);
        if (now - since >= state.m_options.m_voterResponseTimeout)
            unresponsive.emplace_back(since, member.m_id);
    }
    std::sort(unresponsive.begin(), unresponsive.end());
    for (auto& [since, id] : unresponsive)
        response.m_unresponsive.push_back(std::move(id));
    return response;
}

} // namespace flamingo
