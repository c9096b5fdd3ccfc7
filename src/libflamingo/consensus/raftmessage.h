#pragma once

#include "base/ids.h"
#include "consensus/logentry.h"
#include "consensus/logtypes.h"
#include "consensus/snapshotinfo.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace flamingo {

/** Asks for a vote in an election, or for a pre-vote before one. */
struct VoteRequest {
    bool m_preVote = false; // only asks whether the receiver would grant a vote; the receiver's state does not change
    LogIndex m_lastIndex;
    Term m_lastTerm;
};
struct VoteAnswer {
    bool m_preVote = false;
    bool m_granted = false;
    bool m_removed = false; // the candidate is no longer a member
};
/** Replicates log entries; without entries it is a heartbeat. */
struct AppendRequest {
    LogIndex m_previousIndex;
    Term m_previousTerm;
    std::vector<LogEntryPtr> m_entries;
    LogIndex m_commitIndex;
    std::uint64_t m_round = 0; // heartbeat round of the leader; the answer repeats it
};
struct AppendAnswer {
    bool m_matched = false;
    LogIndex m_index; // matched: last index that matches the leader's log; otherwise the index to try next
    Term m_hintTerm; // not matched: term of the entry at m_index in the member's log
    std::uint64_t m_round = 0;
};
/** Part of a snapshot that is sent to a member whose next entry is no longer in the leader's log. */
struct SnapshotChunk {
    SnapshotInfo m_info;
    std::uint64_t m_offset = 0;
    std::uint32_t m_length = 0; // number of bytes that the sender reads from the snapshot file into m_bytes
    std::string m_bytes;
    std::uint64_t m_round = 0;
};
struct SnapshotAnswer {
    LogIndex m_index; // of the snapshot
    bool m_done = false; // the member's state includes the snapshot
    std::uint64_t m_nextOffset = 0;
    std::uint64_t m_round = 0;
};

// Bootstrap and join messages. They are sent to an address, because the receiver's member id may not be known yet.
struct StatusQuery {
    std::uint64_t m_listDigest = 0; // initialListDigest() of the sender
};
struct StatusAnswer {
    VmId m_vm;
    bool m_fresh = false; // the member has no log, no snapshot, no term and has never voted
    bool m_bootstrapAllowed = false;
    std::uint64_t m_listDigest = 0;
    std::string m_leaderAddress; // empty when unknown
};
struct JoinRequest {
    VmId m_vm;
    // Former id of the VM whose data folder is lost, if the request answers a message to that id; otherwise empty.
    MemberId m_lostMember;
};
struct JoinAnswer {
    bool m_accepted = false;
    bool m_removed = false;
    std::string m_text; // why the request was refused, human-readable
    std::string m_leaderAddress;
};

using RaftBody = std::variant<VoteRequest, VoteAnswer, AppendRequest, AppendAnswer, SnapshotChunk, SnapshotAnswer,
    StatusQuery, StatusAnswer, JoinRequest, JoinAnswer>;

/** One message between control members. */
struct RaftMessage {
    MemberId m_from;
    std::string m_fromAddress;
    MemberId m_to; // empty if unknown; a member drops messages to other ids, such as that of its VM's previous member
    Term m_term;
    RaftBody m_body;
};

} // namespace flamingo
