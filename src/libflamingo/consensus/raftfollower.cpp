#include "consensus/raftinternal.h"

#include "base/hash.h"

#include <algorithm>

namespace flamingo::detail {

namespace {

/**
 * Becomes a follower of the sender and returns true.
 *
 * Returns false if the sender's term is outdated. Returns false and sets the fault if this member leads the same term.
 */
bool acceptLeader(RaftState& state, const RaftMessage& message, MonotonicTime now, Effects& effects)
{
    if (message.m_term < state.m_term)
        return false;
    if (state.m_role == Role::Leader) {
        effects.m_fault = Reason { ResultCode::InternalError,
            "members " + state.m_self.value() + " and " + message.m_from.value() + " are both leaders of term "
                + std::to_string(state.m_term.value()) };
        return false;
    }
    becomeFollower(state, state.m_term, message.m_from, now, effects);
    state.m_lastLeaderContact = now;
    state.m_removed = false;
    resetElectionDeadline(state, now);
    return true;
}

/** Returns an answer with the index to try next: the last entry that may match the leader's log. */
AppendAnswer makeMismatchAnswer(const RaftState& state, const AppendRequest& request)
{
    const RaftLog& log = state.m_log;
    LogIndex hint = std::min(request.m_previousIndex, lastIndex(log));
    while (hint > state.m_commitIndex && termAt(log, hint) > request.m_previousTerm)
        hint = hint - 1;
    // The entry at the requested index differs, so the previous one is the next candidate.
    if (hint == request.m_previousIndex && hint > state.m_commitIndex)
        hint = hint - 1;
    AppendAnswer answer;
    answer.m_index = hint;
    answer.m_hintTerm = hint >= log.m_baseIndex ? termAt(log, hint) : Term();
    answer.m_round = request.m_round;
    return answer;
}

void appendFromLeader(RaftState& state, const AppendRequest& request, Effects& effects)
{
    RaftLog& log = state.m_log;
    for (const LogEntryPtr& entry : request.m_entries) {
        if (entry->m_index <= log.m_baseIndex)
            continue;
        if (entry->m_index <= lastIndex(log)) {
            if (termAt(log, entry->m_index) == entry->m_term)
                continue;
            if (entry->m_index <= state.m_commitIndex) {
                effects.m_fault = Reason { ResultCode::InternalError,
                    "the leader's entry at index " + std::to_string(entry->m_index.value())
                        + " differs from the entry that this member has committed" };
                return;
            }
            truncateFrom(log, entry->m_index);
            effects.m_truncateFrom = entry->m_index;
        }
        appendEntry(log, entry);
        effects.m_append.push_back(entry);
    }
}

bool isConsecutive(const AppendRequest& request)
{
    LogIndex expected = request.m_previousIndex;
    for (const LogEntryPtr& entry : request.m_entries) {
        expected = expected + 1;
        if (entry->m_index != expected)
            return false;
    }
    return true;
}

} // namespace

void handleAppendRequest(
    RaftState& state, const RaftMessage& message, const AppendRequest& request, MonotonicTime now, Effects& effects)
{
    if (!isConsecutive(request))
        return;
    AppendAnswer answer;
    answer.m_round = request.m_round;
    if (!acceptLeader(state, message, now, effects)) {
        answer.m_index = lastIndex(state.m_log);
        sendTo(state, message.m_from, answer, effects); // informs the sender of the later term
        return;
    }
    RaftLog& log = state.m_log;
    const bool known = request.m_previousIndex >= log.m_baseIndex && request.m_previousIndex <= lastIndex(log);
    if (request.m_previousIndex > lastIndex(log)
        || (known && termAt(log, request.m_previousIndex) != request.m_previousTerm)) {
        sendTo(state, message.m_from, makeMismatchAnswer(state, request), effects);
        return;
    }
    // Entries up to the base index are committed, so the logs match there.
    appendFromLeader(state, request, effects);
    if (effects.m_fault)
        return;
    const LogIndex matched = std::max(request.m_previousIndex + request.m_entries.size(), log.m_baseIndex);
    state.m_commitIndex = std::max(state.m_commitIndex, std::min(request.m_commitIndex, matched));
    answer.m_matched = true;
    answer.m_index = matched;
    sendTo(state, message.m_from, answer, effects);
}

void handleSnapshotChunk(
    RaftState& state, const RaftMessage& message, const SnapshotChunk& chunk, MonotonicTime now, Effects& effects)
{
    SnapshotAnswer answer;
    answer.m_index = chunk.m_info.m_index;
    answer.m_round = chunk.m_round;
    if (!acceptLeader(state, message, now, effects)) {
        sendTo(state, message.m_from, answer, effects);
        return;
    }
    if (chunk.m_info.m_index <= state.m_commitIndex) {
        state.m_incomingSnapshot.reset();
        answer.m_done = true;
        sendTo(state, message.m_from, answer, effects);
        return;
    }
    auto& incoming = state.m_incomingSnapshot;
    const SnapshotInfo& info = chunk.m_info;
    if (!incoming || incoming->m_info.m_index != info.m_index || incoming->m_info.m_term != info.m_term
        || incoming->m_info.m_checksum != info.m_checksum)
        incoming = RaftState::IncomingSnapshot { info, {} };
    if (chunk.m_offset == incoming->m_bytes.size() && chunk.m_bytes.size() <= info.m_size - chunk.m_offset)
        incoming->m_bytes += chunk.m_bytes;
    answer.m_nextOffset = incoming->m_bytes.size();
    if (incoming->m_bytes.size() == info.m_size) {
        if (hashBytes(incoming->m_bytes) == info.m_checksum) {
            resetToSnapshot(state.m_log, info);
            state.m_commitIndex = info.m_index;
            state.m_appliedIndex = info.m_index;
            effects.m_installSnapshot = Effects::InstalledSnapshot { info, std::move(incoming->m_bytes) };
            answer.m_done = true;
        } else
            answer.m_nextOffset = 0;
        incoming.reset();
    }
    sendTo(state, message.m_from, answer, effects);
}

} // namespace flamingo::detail
