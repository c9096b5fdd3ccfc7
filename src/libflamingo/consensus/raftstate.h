#pragma once

#include "base/time.h"
#include "consensus/quorum.h"
#include "consensus/raftlog.h"
#include "consensus/raftoptions.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace flamingo {

enum class Role {
    Follower, // includes learners and fresh members
    PreCandidate, // asks for pre-votes before it starts an election
    Candidate,
    Leader,
};

/** The leader's view of another member's log. */
struct MemberProgress {
    /** A snapshot that is being sent to the member. */
    struct SnapshotTransfer {
        SnapshotInfo m_info;
        std::uint64_t m_offset = 0;
        bool m_inFlight = false; // a chunk was sent since the last heartbeat and is not acknowledged yet
    };

    LogIndex m_matchIndex; // last entry known to be durable on the member
    LogIndex m_nextIndex; // next entry to send
    bool m_probing = true; // the last matching entry is unknown, so only one request is sent at a time
    bool m_probeInFlight = false;
    std::uint64_t m_ackedRound = 0;
    std::optional<MonotonicTime> m_firstHeard;
    std::optional<MonotonicTime> m_lastHeard;
    std::optional<SnapshotTransfer> m_snapshotTransfer;
};

/** State of one member of the replicated log. Changed only by step(). */
struct RaftState {
    /** A heartbeat round of the leader. */
    struct Round {
        std::uint64_t m_number = 0;
        MonotonicTime m_start;
    };
    /** A partly received snapshot. */
    struct IncomingSnapshot {
        SnapshotInfo m_info;
        std::string m_bytes;
    };

    RaftOptions m_options;
    MemberId m_self;
    std::uint64_t m_random = 0; // state of the pseudo-random generator for election timeouts

    // Persistent state. Must be durable before any message that depends on it is sent.
    Term m_term;
    MemberId m_votedFor; // candidate that got this member's vote in m_term; empty if none
    RaftLog m_log;

    Role m_role = Role::Follower;
    MemberId m_leader; // empty when unknown
    std::optional<MonotonicTime> m_lastLeaderContact;
    MonotonicTime m_electionDeadline;
    std::set<MemberId> m_votes;
    LogIndex m_commitIndex;
    LogIndex m_appliedIndex;
    std::optional<IncomingSnapshot> m_incomingSnapshot;
    bool m_removed = false; // another member reported that the cluster removed this id
    VoterLosses m_losses; // voters whose VMs were heard under another id; not persistent

    // State of a leader. Not used in other roles.
    std::map<MemberId, MemberProgress> m_progress; // of all members except this one
    std::uint64_t m_round = 0;
    std::deque<Round> m_rounds; // not yet acknowledged by a quorum, oldest first
    MonotonicTime m_nextHeartbeat;
    MonotonicTime m_leaderSince;
    std::optional<MonotonicTime> m_confirmedRoundStart; // of the latest round acknowledged by a quorum
    LogIndex m_termStartIndex; // index of the no-op entry of this leader
};

/** Returns the state of a member that starts with its stored term, vote and log. Thread-safe. */
RaftState startState(
    RaftOptions options, MemberId self, Term term, MemberId vote, RaftLog log, std::uint64_t seed, MonotonicTime now);

/** Returns whether the member never took part in a cluster: no log, snapshot, term or vote. Thread-safe for readers. */
bool isFresh(const RaftState& state);

/** Returns whether the member is the leader and has applied an entry of its own term, so that its state is current. */
bool isReadyToServe(const RaftState& state);

} // namespace flamingo
