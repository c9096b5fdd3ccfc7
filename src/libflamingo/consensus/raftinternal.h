#pragma once

#include "base/time.h"
#include "consensus/effects.h"
#include "consensus/raftevent.h"
#include "consensus/raftstate.h"

namespace flamingo::detail {

// Parts of step(). They update the state of the member and add to the effects of the current step.

// Election (raftelection.cpp)
/** Restarts the election timeout with a random duration. */
void resetElectionDeadline(RaftState& state, MonotonicTime now);
/**
 * Sets the first election deadline after the start of the process.
 *
 * The deadline is short, because after a restart of all members no member has a leader. If there is a leader, the other
 * members refuse the pre-vote.
 */
void setStartDeadline(RaftState& state, MonotonicTime now);
/** Becomes a follower of the leader, which is empty if unknown. Adopts the term if it is later than the current one. */
void becomeFollower(RaftState& state, Term term, const MemberId& leader, MonotonicTime now, Effects& effects);
/** Asks the voters for a pre-vote. A learner or a removed member only restarts its election timeout. */
void startPreVote(RaftState& state, MonotonicTime now, Effects& effects);
void handleVoteRequest(RaftState&, const RaftMessage&, const VoteRequest&, MonotonicTime now, Effects&);
void handleVoteAnswer(RaftState&, const RaftMessage&, const VoteAnswer&, MonotonicTime now, Effects&);

// Leader's side of replication (raftleader.cpp)
/** Appends a new entry of the current term to the leader's log. */
void appendOwn(RaftState& state, std::variant<NoopEntry, Configuration, std::string> body, Effects& effects);
/** Starts a heartbeat round, which sends a message to every other member. */
void startRound(RaftState& state, MonotonicTime now, Effects& effects);
/** Sends entries to the members that lack some. */
void replicateToAll(RaftState& state, Effects& effects);
/** Advances the commit index to the last entry that a quorum of the voters has, if it is of the current term. */
void advanceCommit(RaftState& state, MonotonicTime now, Effects& effects);
/** Updates the start time of the latest heartbeat round that a quorum of the voters acknowledged. */
void updateConfirmedRound(RaftState& state);
/** Adds and removes progress records to match the latest configuration and, while it is needed, the previous one. */
void syncProgress(RaftState& state);
void handleAppendAnswer(RaftState&, const RaftMessage&, const AppendAnswer&, MonotonicTime now, Effects&);
void handleSnapshotAnswer(RaftState&, const RaftMessage&, const SnapshotAnswer&, MonotonicTime now, Effects&);

// Follower's side of replication (raftfollower.cpp)
void handleAppendRequest(RaftState&, const RaftMessage&, const AppendRequest&, MonotonicTime now, Effects&);
void handleSnapshotChunk(RaftState&, const RaftMessage&, const SnapshotChunk&, MonotonicTime now, Effects&);

// Quorums (raftquorum.cpp)
/** Returns the configuration before the latest one if a quorum of it is needed as well, or nullptr. */
const Configuration* previousVoters(const RaftState& state);
/** Records that the voter's data folder is lost. Ignores members that are no voters. */
void noteLostVoter(RaftState& state, const MemberId& lost);
/** Returns whether the members for which the predicate holds may elect a leader and commit entries. */
template <typename Predicate> bool hasQuorum(const RaftState& state, const Predicate& predicate)
{
    const Configuration* previous = previousVoters(state);
    return isQuorum(latestConfiguration(state.m_log), state.m_losses, predicate)
        && (!previous || isQuorum(*previous, state.m_losses, predicate));
}

// Membership (raftmembership.cpp)
/** Returns whether the member has answered the leader within the election timeout; always true for this member. */
bool isActive(const RaftState& state, const MemberId& id, MonotonicTime now);
/** Returns whether the member has answered the leader within the election timeout and has all committed entries. */
bool isCaughtUp(const RaftState& state, const MemberId& id, MonotonicTime now);
void handleMembershipEvent(RaftState& state, const RaftEvent& event, MonotonicTime now, Effects& effects);
/** Makes the next change of the voters, if one is due and no earlier change is uncommitted. */
void changeVoters(RaftState& state, MonotonicTime now, Effects& effects);

/** Adds a message of the current term to the effects. */
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
