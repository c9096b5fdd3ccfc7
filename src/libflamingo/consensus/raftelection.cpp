#include "consensus/raftinternal.h"

namespace flamingo::detail {

namespace {

/** Returns the next value of the splitmix64 sequence. */
std::uint64_t nextRandom(std::uint64_t& state)
{
    state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = state;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31U);
}

/** Returns a random duration in [from, to]. */
Microseconds randomBetween(RaftState& state, Microseconds from, Microseconds to)
{
    const auto span = static_cast<std::uint64_t>((to - from).count()) + 1;
    return from + Microseconds(static_cast<std::int64_t>(nextRandom(state.m_random) % span));
}

/**
 * Sets the deadline for the next attempt of a candidate.
 *
 * A failed candidacy does not disturb the other members, so the delay is shorter than before the first attempt. It is
 * shorter still for a member without contact from a leader since its start: all members may have lost power at the
 * same time, and then callers wait for the election. The delay after a pre-vote is half that after a vote, because a
 * pre-vote costs the other members little while a vote costs them a synced write.
 */
void setRetryDeadline(RaftState& state, MonotonicTime now)
{
    if (state.m_lastLeaderContact) {
        const Microseconds timeout = state.m_options.m_electionTimeout;
        state.m_electionDeadline = now + randomBetween(state, timeout / 2, timeout);
        return;
    }
    // The range is wide, because members that start at the same time would otherwise split the votes.
    const Microseconds longest = state.m_options.m_heartbeatInterval * (state.m_role == Role::PreCandidate ? 1 : 2);
    state.m_electionDeadline = now + randomBetween(state, longest / 6, longest);
}

bool hasQuorumOfVotes(const RaftState& state)
{
    return hasQuorum(state, [&](const MemberId& id) { return state.m_votes.count(id) > 0; });
}

void requestVotes(RaftState& state, bool preVote, Effects& effects)
{
    const auto requestVote = [&](const MemberId& voter) {
        sendTo(state, voter, VoteRequest { preVote, lastIndex(state.m_log), lastTerm(state.m_log) }, effects);
        if (preVote)
            effects.m_messages.back().m_term = Term(state.m_term.value() + 1);
    };
    const Configuration& latest = latestConfiguration(state.m_log);
    for (const MemberRecord& member : latest.m_members) {
        if (member.m_voter && member.m_id != state.m_self)
            requestVote(member.m_id);
    }
    const Configuration* previous = previousVoters(state);
    if (!previous)
        return;
    for (const MemberRecord& member : previous->m_members) {
        if (member.m_voter && member.m_id != state.m_self && !isVoter(latest, member.m_id))
            requestVote(member.m_id);
    }
}

void becomeLeader(RaftState& state, MonotonicTime now, Effects& effects)
{
    state.m_role = Role::Leader;
    state.m_leader = state.m_self;
    state.m_leaderSince = now;
    state.m_votes.clear();
    state.m_progress.clear();
    state.m_round = 0;
    state.m_rounds.clear();
    state.m_confirmedRoundStart.reset();
    state.m_termStartIndex = lastIndex(state.m_log) + 1;
    syncProgress(state);
    appendOwn(state, NoopEntry {}, effects);
    startRound(state, now, effects);
    advanceCommit(state, now, effects);
}

void startElection(RaftState& state, MonotonicTime now, Effects& effects)
{
    state.m_role = Role::Candidate;
    state.m_term = Term(state.m_term.value() + 1);
    state.m_votedFor = state.m_self;
    effects.m_persistTermAndVote = true;
    state.m_votes = { state.m_self };
    setRetryDeadline(state, now);
    if (hasQuorumOfVotes(state))
        becomeLeader(state, now, effects);
    else
        requestVotes(state, false, effects);
}

/** Returns whether the candidate's log is at least as up to date as this member's. */
bool isUpToDate(const RaftState& state, const VoteRequest& request)
{
    const Term term = lastTerm(state.m_log);
    return request.m_lastTerm > term || (request.m_lastTerm == term && request.m_lastIndex >= lastIndex(state.m_log));
}

/** Returns whether this member is the leader or had contact with one within the election timeout. */
bool hasLeader(const RaftState& state, MonotonicTime now)
{
    if (state.m_role == Role::Leader)
        return true;
    return state.m_leader != MemberId() && state.m_lastLeaderContact
        && now - *state.m_lastLeaderContact < state.m_options.m_electionTimeout;
}

} // namespace

void resetElectionDeadline(RaftState& state, MonotonicTime now)
{
    const Microseconds timeout = state.m_options.m_electionTimeout;
    // Others refuse a pre-vote for the election timeout. One heartbeat more lets the first attempt succeed.
    state.m_electionDeadline = now + randomBetween(state, timeout + state.m_options.m_heartbeatInterval, timeout * 2);
}

void setStartDeadline(RaftState& state, MonotonicTime now)
{
    const Microseconds heartbeat = state.m_options.m_heartbeatInterval;
    state.m_electionDeadline = now + randomBetween(state, heartbeat / 6, heartbeat);
}

void becomeFollower(RaftState& state, Term term, const MemberId& leader, MonotonicTime now, Effects& effects)
{
    if (term > state.m_term) {
        state.m_term = term;
        state.m_votedFor = MemberId();
        effects.m_persistTermAndVote = true;
    }
    if (state.m_role != Role::Follower)
        resetElectionDeadline(state, now);
    state.m_role = Role::Follower;
    state.m_leader = leader;
    state.m_votes.clear();
    state.m_progress.clear();
    state.m_rounds.clear();
    state.m_confirmedRoundStart.reset();
}

void startPreVote(RaftState& state, MonotonicTime now, Effects& effects)
{
    if (state.m_removed || !isVoter(latestConfiguration(state.m_log), state.m_self)) {
        state.m_leader = MemberId();
        resetElectionDeadline(state, now);
        return;
    }
    state.m_role = Role::PreCandidate;
    state.m_leader = MemberId();
    state.m_votes = { state.m_self };
    setRetryDeadline(state, now);
    if (hasQuorumOfVotes(state))
        startElection(state, now, effects);
    else
        requestVotes(state, true, effects);
}

// A member may vote even if it is not a voter in its own latest configuration, because a voter may not have received
// the entry that promoted it. Its id and its vote are durable, so the vote is counted only once in any case.
void handleVoteRequest(
    RaftState& state, const RaftMessage& message, const VoteRequest& request, MonotonicTime now, Effects& effects)
{
    VoteAnswer answer;
    answer.m_preVote = request.m_preVote;
    answer.m_removed = wasRemoved(configurationAt(state.m_log, state.m_commitIndex), message.m_from);
    if (request.m_preVote) {
        answer.m_granted = !answer.m_removed && !hasLeader(state, now) && message.m_term > state.m_term
            && isUpToDate(state, request);
        sendTo(state, message.m_from, answer, effects);
        if (answer.m_granted)
            effects.m_messages.back().m_term = message.m_term;
        return;
    }
    const bool voteAvailable = state.m_votedFor == MemberId() || state.m_votedFor == message.m_from;
    if (!answer.m_removed && message.m_term == state.m_term && voteAvailable && isUpToDate(state, request)) {
        answer.m_granted = true;
        if (state.m_votedFor == MemberId()) {
            state.m_votedFor = message.m_from;
            effects.m_persistTermAndVote = true;
        }
        resetElectionDeadline(state, now);
    }
    sendTo(state, message.m_from, answer, effects);
}

void handleVoteAnswer(
    RaftState& state, const RaftMessage& message, const VoteAnswer& answer, MonotonicTime now, Effects& effects)
{
    const bool candidate = state.m_role == Role::PreCandidate || state.m_role == Role::Candidate;
    if (answer.m_removed) {
        if (candidate) {
            state.m_removed = true;
            becomeFollower(state, state.m_term, MemberId(), now, effects);
        }
        return;
    }
    if (!answer.m_granted)
        return;
    if (state.m_role == Role::PreCandidate && answer.m_preVote && message.m_term.value() == state.m_term.value() + 1) {
        state.m_votes.insert(message.m_from);
        if (hasQuorumOfVotes(state))
            startElection(state, now, effects);
    } else if (state.m_role == Role::Candidate && !answer.m_preVote && message.m_term == state.m_term) {
        state.m_votes.insert(message.m_from);
        if (hasQuorumOfVotes(state))
            becomeLeader(state, now, effects);
    }
}

} // namespace flamingo::detail
