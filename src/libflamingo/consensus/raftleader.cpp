#include "consensus/raftinternal.h"

#include <algorithm>
#include <functional>

namespace flamingo::detail {

namespace {

/**
 * Returns the largest value that a quorum of the voters has reached.
 *
 * The leader's own value counts only while it is a voter, which it no longer is while its removal is being committed.
 */
template <typename Value, typename ValueOf>
Value reachedByQuorum(const RaftState& state, const Value& own, const ValueOf& valueOf)
{
    const auto valueOfMember = [&](const MemberId& id) {
        if (id == state.m_self)
            return own;
        const auto found = state.m_progress.find(id);
        return found == state.m_progress.end() ? Value() : valueOf(found->second);
    };
    const auto reached
        = flamingo::reachedByQuorum<Value>(latestConfiguration(state.m_log), state.m_losses, valueOfMember);
    const Configuration* previous = previousVoters(state);
    if (!previous)
        return reached;
    return std::min(reached, flamingo::reachedByQuorum<Value>(*previous, state.m_losses, valueOfMember));
}

/** Sends the next chunk of the snapshot unless one is in flight. */
void sendChunk(RaftState& state, const MemberId& to, MemberProgress& progress, Effects& effects)
{
    MemberProgress::SnapshotTransfer& transfer = *progress.m_snapshotTransfer;
    if (transfer.m_inFlight)
        return;
    SnapshotChunk chunk;
    chunk.m_info = transfer.m_info;
    chunk.m_offset = transfer.m_offset;
    chunk.m_length = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(state.m_options.m_snapshotChunkBytes, transfer.m_info.m_size - transfer.m_offset));
    chunk.m_round = state.m_round;
    transfer.m_inFlight = true;
    sendTo(state, to, std::move(chunk), effects);
}

/**
 * Sends the entries or the snapshot chunk that the member needs next.
 *
 * With heartbeat set, also sends a request without entries if none are missing or the window is full.
 */
void sendAppend(RaftState& state, const MemberId& to, MemberProgress& progress, bool heartbeat, Effects& effects)
{
    const RaftLog& log = state.m_log;
    if (!progress.m_snapshotTransfer && progress.m_nextIndex <= log.m_baseIndex)
        progress.m_snapshotTransfer = MemberProgress::SnapshotTransfer { log.m_snapshot, 0, false };
    if (progress.m_snapshotTransfer) {
        sendChunk(state, to, progress, effects);
        return;
    }
    for (bool first = true;; first = false) {
        if (progress.m_probing && progress.m_probeInFlight)
            return;
        AppendRequest request;
        request.m_previousIndex = progress.m_nextIndex - 1;
        request.m_previousTerm = termAt(log, request.m_previousIndex);
        request.m_commitIndex = state.m_commitIndex;
        request.m_round = state.m_round;
        std::size_t bytes = 0;
        LogIndex next = progress.m_nextIndex;
        const LogIndex windowEnd = progress.m_matchIndex + state.m_options.m_maxUnackedEntries;
        while (next <= lastIndex(log) && (progress.m_probing || next <= windowEnd)) {
            const LogEntryPtr& entry = entryAt(log, next);
            bytes += entryBytes(*entry);
            if (!request.m_entries.empty() && bytes > state.m_options.m_maxAppendBytes)
                break;
            request.m_entries.push_back(entry);
            next = next + 1;
        }
        if (request.m_entries.empty() && !(heartbeat && first))
            return;
        if (progress.m_probing)
            progress.m_probeInFlight = true;
        else
            progress.m_nextIndex = next;
        sendTo(state, to, std::move(request), effects);
    }
}

/**
 * Records the time and the heartbeat round of an answer.
 *
 * Returns the sender's progress, or nullptr if the answer has to be ignored.
 */
MemberProgress* acceptAnswer(RaftState& state, const RaftMessage& message, std::uint64_t round, MonotonicTime now)
{
    if (state.m_role != Role::Leader || message.m_term != state.m_term)
        return nullptr;
    const auto found = state.m_progress.find(message.m_from);
    if (found == state.m_progress.end() || round > state.m_round)
        return nullptr;
    if (!found->second.m_firstHeard)
        found->second.m_firstHeard = now;
    found->second.m_lastHeard = now;
    found->second.m_ackedRound = std::max(found->second.m_ackedRound, round);
    updateConfirmedRound(state);
    return &found->second;
}

void advanceMatch(MemberProgress& progress, LogIndex match)
{
    progress.m_matchIndex = std::max(progress.m_matchIndex, match);
    progress.m_nextIndex = std::max(progress.m_nextIndex, progress.m_matchIndex + 1);
}

} // namespace

void appendOwn(RaftState& state, std::variant<NoopEntry, Configuration, std::string> body, Effects& effects)
{
    auto entry
        = std::make_shared<const LogEntry>(LogEntry { lastIndex(state.m_log) + 1, state.m_term, std::move(body) });
    appendEntry(state.m_log, entry);
    effects.m_append.push_back(std::move(entry));
}

void startRound(RaftState& state, MonotonicTime now, Effects& effects)
{
    syncProgress(state);
    ++state.m_round;
    state.m_rounds.push_back({ state.m_round, now });
    state.m_nextHeartbeat = now + state.m_options.m_heartbeatInterval;
    for (auto& [id, progress] : state.m_progress) {
        progress.m_probeInFlight = false;
        if (progress.m_snapshotTransfer)
            progress.m_snapshotTransfer->m_inFlight = false;
        sendAppend(state, id, progress, true, effects);
    }
    updateConfirmedRound(state);
}

void replicateToAll(RaftState& state, Effects& effects)
{
    for (auto& [id, progress] : state.m_progress)
        sendAppend(state, id, progress, false, effects);
}

void updateConfirmedRound(RaftState& state)
{
    const auto confirmed = reachedByQuorum<std::uint64_t>(
        state, state.m_round, [](const MemberProgress& progress) { return progress.m_ackedRound; });
    while (!state.m_rounds.empty() && state.m_rounds.front().m_number <= confirmed) {
        state.m_confirmedRoundStart = state.m_rounds.front().m_start;
        state.m_rounds.pop_front();
    }
}

// The leader's own entries count at once, because the caller makes them durable before it sends or applies any effect
// of this step.
void advanceCommit(RaftState& state, MonotonicTime now, Effects& effects)
{
    const auto reached = reachedByQuorum<LogIndex>(
        state, lastIndex(state.m_log), [](const MemberProgress& progress) { return progress.m_matchIndex; });
    // Entries of earlier terms are committed only together with an entry of the current term: even if a majority has
    // them, a candidate whose last entry has a later term could still win an election and replace them.
    if (reached <= state.m_commitIndex || termAt(state.m_log, reached) != state.m_term)
        return;
    state.m_commitIndex = reached;
    const bool configurationCommitted = latestConfigurationIndex(state.m_log) <= state.m_commitIndex;
    if (configurationCommitted && !isVoter(latestConfiguration(state.m_log), state.m_self))
        becomeFollower(state, state.m_term, MemberId(), now, effects);
}

void syncProgress(RaftState& state)
{
    const Configuration& latest = latestConfiguration(state.m_log);
    const Configuration* previous = previousVoters(state);
    const auto add = [&](const MemberId& id) {
        MemberProgress progress;
        progress.m_nextIndex = lastIndex(state.m_log) + 1;
        if (id != state.m_self)
            state.m_progress.emplace(id, progress);
    };
    for (const MemberRecord& member : latest.m_members)
        add(member.m_id);
    if (previous) {
        for (const MemberRecord& member : previous->m_members) {
            if (member.m_voter)
                add(member.m_id);
        }
    }
    for (auto it = state.m_progress.begin(); it != state.m_progress.end();) {
        const bool needed = findMember(latest, it->first) || (previous && isVoter(*previous, it->first));
        it = needed ? std::next(it) : state.m_progress.erase(it);
    }
}

void handleAppendAnswer(
    RaftState& state, const RaftMessage& message, const AppendAnswer& answer, MonotonicTime now, Effects& effects)
{
    MemberProgress* progress = acceptAnswer(state, message, answer.m_round, now);
    if (!progress || progress->m_snapshotTransfer || answer.m_index > lastIndex(state.m_log))
        return;
    if (answer.m_matched) {
        advanceMatch(*progress, answer.m_index);
        if (progress->m_probing) {
            progress->m_probing = false;
            progress->m_nextIndex = progress->m_matchIndex + 1;
        }
        advanceCommit(state, now, effects);
    } else {
        if (answer.m_index < progress->m_matchIndex)
            return; // outdated: a later answer arrived first
        LogIndex hint = answer.m_index;
        while (hint > state.m_log.m_baseIndex && termAt(state.m_log, hint) > answer.m_hintTerm)
            hint = hint - 1;
        progress->m_nextIndex = std::max(progress->m_matchIndex + 1, std::min(progress->m_nextIndex, hint + 1));
        progress->m_probing = true;
        progress->m_probeInFlight = false;
    }
    if (state.m_role == Role::Leader)
        sendAppend(state, message.m_from, *progress, false, effects);
}

void handleSnapshotAnswer(
    RaftState& state, const RaftMessage& message, const SnapshotAnswer& answer, MonotonicTime now, Effects& effects)
{
    MemberProgress* progress = acceptAnswer(state, message, answer.m_round, now);
    if (!progress || !progress->m_snapshotTransfer || progress->m_snapshotTransfer->m_info.m_index != answer.m_index)
        return;
    MemberProgress::SnapshotTransfer& transfer = *progress->m_snapshotTransfer;
    if (answer.m_done) {
        const LogIndex index = transfer.m_info.m_index;
        progress->m_snapshotTransfer.reset();
        advanceMatch(*progress, index);
        progress->m_nextIndex = progress->m_matchIndex + 1;
        progress->m_probing = true;
        progress->m_probeInFlight = false;
        advanceCommit(state, now, effects);
    } else if (answer.m_nextOffset <= transfer.m_info.m_size) {
        if (transfer.m_inFlight && answer.m_nextOffset == transfer.m_offset)
            return; // second answer to a chunk that was sent twice; the next chunk is in flight
        transfer.m_offset = answer.m_nextOffset;
        transfer.m_inFlight = false;
    }
    if (state.m_role == Role::Leader)
        sendAppend(state, message.m_from, *progress, false, effects);
}

} // namespace flamingo::detail
