#pragma once

#include "base/time.h"
#include "consensus/effects.h"
#include "consensus/raftevent.h"
#include "consensus/raftstate.h"

namespace flamingo::detail {

// Parts of step(). They share the state and the effects of the step under way.

// Election (raftelection.cpp)
void resetElectionDeadline(RaftState& state, MonotonicTime now);
/**
 * Sets the first deadline of a process that has just started. It is short: after a restart of all members none has a
 * leader, and where one works the others refuse the pre-vote.
 */
void setStartDeadline(RaftState& state, MonotonicTime now);
void becomeFollower(RaftState& state, Term term, const MemberId& leader, MonotonicTime now, Effects& effects);
void startPreVote(RaftState& state, MonotonicTime now, Effects& effects);
void handleVoteRequest(RaftState&, const RaftMessage&, const VoteRequest&, MonotonicTime now, Effects&);
void handleVoteAnswer(RaftState&, const RaftMessage&, const VoteAnswer&, MonotonicTime now, Effects&);

// Leader's side of replication (raftleader.cpp)
void appendOwn(RaftState& state, std::variant<NoopEntry, Configuration, std::string> body, Effects& effects);
void startRound(RaftState& state, MonotonicTime now, Effects& effects);
void replicateToAll(RaftState& state, Effects& effects);
void advanceCommit(RaftState& state, MonotonicTime now, Effects& effects);
void updateConfirmedRound(RaftState& state);
void syncProgress(RaftState& state);
void handleAppendAnswer(RaftState&, const RaftMessage&, const AppendAnswer&, MonotonicTime now, Effects&);
void handleSnapshotAnswer(RaftState&, const RaftMessage&, const SnapshotAnswer&, MonotonicTime now, Effects&);

// Follower's side of replication (raftfollower.cpp)
void handleAppendRequest(RaftState&, const RaftMessage&, const AppendRequest&, MonotonicTime now, Effects&);
void handleSnapshotChunk(RaftState&, const RaftMessage&, const SnapshotChunk&, MonotonicTime now, Effects&);

// Membership (raftmembership.cpp)
bool isActive(const RaftState& state, const MemberId& id, MonotonicTime now);
void handleMembershipEvent(RaftState& state, const RaftEvent& event, MonotonicTime now, Effects& effects);
void manageMembership(RaftState& state, MonotonicTime now, Effects& effects);

template <typename Body> void sendTo(RaftState& state, const MemberId& to, Body body, Effects& effects)
{
    RaftMessage message;
    message.m_from = state.m_self;
    message.m_to = to;
    message.m_term = state.m_term;
    message.m_body = std::move(body);
    effects.m_messages.push_back(std::move(message));
}

} // namespace flamingo::detail
