#pragma once

#include "base/time.h"
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
    Follower, // also learners and fresh members
    PreCandidate,
    Candidate,
    Leader,
};

/** What a leader knows about another member. */
struct MemberProgress {
    struct Transfer {
        SnapshotInfo m_info;
        std::uint64_t m_offset = 0;
        bool m_inFlight = false; // a chunk was sent since the last heartbeat and has no answer yet
    };

    LogIndex m_match; // last entry known to be durable there
    LogIndex m_next; // next entry to send
    bool m_probing = true; // the point where the logs agree is unknown, so one request is sent at a time
    bool m_probeInFlight = false;
    std::uint64_t m_ackedRound = 0;
    std::optional<MonotonicTime> m_lastHeard;
    std::optional<Transfer> m_transfer;
};

/** State of one member of the replicated log. Changed only by step(). */
struct RaftState {
    struct Round {
        std::uint64_t m_number = 0;
        MonotonicTime m_start;
    };
    struct IncomingSnapshot {
        SnapshotInfo m_info;
        std::string m_bytes;
    };

    RaftOptions m_options;
    MemberId m_self;
    std::uint64_t m_random = 0; // state of the random source of election timeouts

    // Durable before any message that depends on it is sent.
    Term m_term;
    MemberId m_vote; // empty when no vote was given in m_term
    RaftLog m_log;

    Role m_role = Role::Follower;
    MemberId m_leader; // empty when unknown
    std::optional<MonotonicTime> m_lastLeaderContact;
    MonotonicTime m_electionDeadline;
    std::set<MemberId> m_votes;
    LogIndex m_commit;
    LogIndex m_applied;
    std::optional<IncomingSnapshot> m_incoming;
    bool m_removed = false; // another member said that this id was removed

    // Valid while leader.
    std::map<MemberId, MemberProgress> m_progress; // without the leader itself
    std::uint64_t m_round = 0;
    std::deque<Round> m_rounds; // not yet confirmed, oldest first
    MonotonicTime m_nextHeartbeat;
    MonotonicTime m_leaderSince;
    std::optional<MonotonicTime> m_confirmedRoundStart;
    LogIndex m_termStart; // the leader's noop
};

/** Returns the state of a member that starts now with what its storage holds. Thread-safe. */
RaftState startState(
    RaftOptions options, MemberId self, Term term, MemberId vote, RaftLog log, std::uint64_t seed, MonotonicTime now);

/** Returns whether the member never took part in a cluster: no log, no snapshot, no term. Thread-safe for readers. */
bool isFresh(const RaftState& state);

/** Returns whether the leader has applied an entry of its own term, so that its state is current. */
bool isReadyToServe(const RaftState& state);

} // namespace flamingo
