#include "consensus/raftstep.h"

#include "consensus/raftinternal.h"

#include <type_traits>

namespace flamingo {

using namespace detail;

RaftState startState(
    RaftOptions options, MemberId self, Term term, MemberId vote, RaftLog log, std::uint64_t seed, MonotonicTime now)
{
    RaftState state;
    state.m_options = options;
    state.m_losses.m_tolerated = options.m_toleratedLosses;
    state.m_self = std::move(self);
    state.m_random = seed;
    state.m_term = term;
    state.m_votedFor = std::move(vote);
    state.m_log = std::move(log);
    state.m_commitIndex = state.m_log.m_snapshot.m_index;
    state.m_appliedIndex = state.m_commitIndex;
    setStartDeadline(state, now);
    return state;
}

bool isFresh(const RaftState& state)
{
    return state.m_term == Term() && state.m_votedFor == MemberId() && lastIndex(state.m_log) == LogIndex();
}

bool isReadyToServe(const RaftState& state)
{
    return state.m_role == Role::Leader && state.m_appliedIndex >= state.m_termStartIndex;
}

namespace {

void handleTick(RaftState& state, MonotonicTime now, Effects& effects)
{
    if (state.m_role != Role::Leader) {
        if (now >= state.m_electionDeadline)
            startPreVote(state, now, effects);
        return;
    }
    const MonotonicTime confirmed
        = std::max(state.m_leaderSince, state.m_confirmedRoundStart.value_or(MonotonicTime()));
    // A single voter confirms its own rounds, however long the process was suspended.
    const bool onlyVoter
        = voterCount(latestConfiguration(state.m_log)) == 1 && isVoter(latestConfiguration(state.m_log), state.m_self);
    if (!onlyVoter && now - confirmed > state.m_options.m_electionTimeout) {
        becomeFollower(state, state.m_term, MemberId(), now, effects);
        return;
    }
    if (now >= state.m_nextHeartbeat)
        startRound(state, now, effects);
    changeVoters(state, now, effects);
}

bool isAnswer(const RaftBody& body)
{
    return std::holds_alternative<VoteAnswer>(body) || std::holds_alternative<AppendAnswer>(body)
        || std::holds_alternative<SnapshotAnswer>(body);
}

/**
 * Adopts the term of a message if it is later than the current one.
 *
 * Ignores pre-vote requests and granted pre-votes, which carry a term that has not begun, and vote requests from
 * removed members.
 */
void adoptLaterTerm(RaftState& state, const RaftMessage& message, MonotonicTime now, Effects& effects)
{
    if (message.m_term <= state.m_term)
        return;
    if (const auto* request = std::get_if<VoteRequest>(&message.m_body)) {
        if (!request->m_preVote && !wasRemoved(configurationAt(state.m_log, state.m_commitIndex), message.m_from))
            becomeFollower(state, message.m_term, MemberId(), now, effects);
        return;
    }
    if (const auto* answer = std::get_if<VoteAnswer>(&message.m_body)) {
        if (answer->m_preVote && answer->m_granted)
            return;
    }
    becomeFollower(state, message.m_term, isAnswer(message.m_body) ? MemberId() : message.m_from, now, effects);
}

void handleMessage(RaftState& state, const RaftMessage& message, MonotonicTime now, Effects& effects)
{
    if (message.m_to != state.m_self)
        return;
    state.m_losses.m_lost.erase(message.m_from);
    adoptLaterTerm(state, message, now, effects);
    std::visit(
        [&](const auto& body) {
            using Body = std::decay_t<decltype(body)>;
            if constexpr (std::is_same_v<Body, VoteRequest>)
                handleVoteRequest(state, message, body, now, effects);
            else if constexpr (std::is_same_v<Body, VoteAnswer>)
                handleVoteAnswer(state, message, body, now, effects);
            else if constexpr (std::is_same_v<Body, AppendRequest>)
                handleAppendRequest(state, message, body, now, effects);
            else if constexpr (std::is_same_v<Body, AppendAnswer>)
                handleAppendAnswer(state, message, body, now, effects);
            else if constexpr (std::is_same_v<Body, SnapshotChunk>)
                handleSnapshotChunk(state, message, body, now, effects);
            else if constexpr (std::is_same_v<Body, SnapshotAnswer>)
                handleSnapshotAnswer(state, message, body, now, effects);
        },
        message.m_body);
}

void handleProposals(RaftState& state, const ProposalEvent& event, MonotonicTime now, Effects& effects)
{
    if (state.m_role != Role::Leader) {
        effects.m_refusal = Reason { ResultCode::NotLeader, "this member is not the leader of the replicated log" };
        return;
    }
    for (const std::string& entry : event.m_entries)
        appendOwn(state, entry, effects);
    replicateToAll(state, effects);
    advanceCommit(state, now, effects);
}

void handleSnapshotTaken(RaftState& state, const SnapshotTakenEvent& event)
{
    if (event.m_info.m_index <= state.m_log.m_snapshot.m_index)
        return;
    const std::uint64_t index = event.m_info.m_index.value();
    const std::uint64_t trailing = state.m_options.m_trailingEntries;
    LogIndex keepAfter(index > trailing ? index - trailing : 0);
    // A member that is receiving an older snapshot needs the entries that follow that snapshot. Without them, a
    // transfer that takes longer than the snapshot interval would restart forever.
    for (const auto& [id, progress] : state.m_progress) {
        if (progress.m_snapshotTransfer)
            keepAfter = std::min(keepAfter, progress.m_snapshotTransfer->m_info.m_index);
    }
    compactLog(state.m_log, event.m_info, keepAfter);
}

} // namespace

Effects step(RaftState& state, const RaftEvent& event, MonotonicTime now)
{
    Effects effects;
    const Role role = state.m_role;
    const Term term = state.m_term;
    const MemberId leader = state.m_leader;

    if (std::holds_alternative<TickEvent>(event))
        handleTick(state, now, effects);
    else if (const auto* message = std::get_if<MessageEvent>(&event))
        handleMessage(state, message->m_message, now, effects);
    else if (const auto* proposal = std::get_if<ProposalEvent>(&event))
        handleProposals(state, *proposal, now, effects);
    else if (const auto* taken = std::get_if<SnapshotTakenEvent>(&event))
        handleSnapshotTaken(state, *taken);
    else if (const auto* lost = std::get_if<VoterLostEvent>(&event))
        noteLostVoter(state, lost->m_voter);
    else
        handleMembershipEvent(state, event, now, effects);

    while (state.m_appliedIndex < state.m_commitIndex && !effects.m_fault) {
        state.m_appliedIndex = state.m_appliedIndex + 1;
        effects.m_apply.push_back(entryAt(state.m_log, state.m_appliedIndex));
    }
    effects.m_roleChanged = role != state.m_role || term != state.m_term || leader != state.m_leader;
    return effects;
}

} // namespace flamingo
