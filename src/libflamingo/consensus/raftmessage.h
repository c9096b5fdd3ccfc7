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

struct VoteRequest {
    bool m_preVote = false; // asks whether a vote would be given; changes no state at the receiver
    LogIndex m_lastIndex;
    Term m_lastTerm;
};
struct VoteAnswer {
    bool m_preVote = false;
    bool m_granted = false;
    bool m_removed = false; // the candidate is no longer a member
};
struct AppendRequest {
    LogIndex m_previousIndex;
    Term m_previousTerm;
    std::vector<LogEntryPtr> m_entries;
    LogIndex m_commit;
    std::uint64_t m_round = 0; // heartbeat round, echoed in the answer
};
struct AppendAnswer {
    bool m_matched = false;
    LogIndex m_index; // matched: last index known equal to the leader's; otherwise where to look next
    Term m_hintTerm; // not matched: term at m_index in the member's log
    std::uint64_t m_round = 0;
};
struct SnapshotChunk {
    SnapshotInfo m_info;
    std::uint64_t m_offset = 0;
    std::uint32_t m_length = 0; // the sender fills m_bytes with that many bytes of the snapshot file
    std::string m_bytes;
    std::uint64_t m_round = 0;
};
struct SnapshotAnswer {
    LogIndex m_index; // of the snapshot
    bool m_done = false; // the member's state includes the snapshot
    std::uint64_t m_nextOffset = 0;
    std::uint64_t m_round = 0;
};

// Bootstrap and joining; sent to an address, since the member id there is not known yet.
struct StatusQuery {
    std::uint64_t m_listDigest = 0; // of the sender's list of initial members
};
struct StatusAnswer {
    VmId m_vm;
    bool m_fresh = false; // no log, no snapshot, never voted
    bool m_bootstrapAllowed = false;
    std::uint64_t m_listDigest = 0;
    std::string m_leaderAddress; // empty when unknown
};
struct JoinRequest {
    VmId m_vm;
};
struct JoinAnswer {
    bool m_accepted = false;
    bool m_removed = false;
    std::string m_text; // why not, for people
    std::string m_leaderAddress;
};

using RaftBody = std::variant<VoteRequest, VoteAnswer, AppendRequest, AppendAnswer, SnapshotChunk, SnapshotAnswer,
    StatusQuery, StatusAnswer, JoinRequest, JoinAnswer>;

/** One message between control members. */
struct RaftMessage {
    MemberId m_from;
    std::string m_fromAddress;
    MemberId m_to; // empty if unknown; a member drops messages for another id, such as its lost predecessor's
    Term m_term;
    RaftBody m_body;
};

} // namespace flamingo
