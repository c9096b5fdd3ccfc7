#pragma once

#include "consensus/memberrecord.h"
#include "consensus/raftmessage.h"
#include "consensus/snapshotinfo.h"

#include <string>
#include <variant>
#include <vector>

namespace flamingo {

/** Time has passed; timers may have expired. */
struct TickEvent { };
/** A message from another member was received. */
struct MessageEvent {
    RaftMessage m_message;
};
/** Application entries to append as one batch. Refused unless the member is the leader. */
struct ProposalEvent {
    std::vector<std::string> m_entries;
};
/** The caller has stored a snapshot of the application state after entry m_info.m_index. */
struct SnapshotTakenEvent {
    SnapshotInfo m_info;
};

// Membership changes. Refused while an earlier membership change is not committed.
struct AddLearnerEvent {
    MemberRecord m_member;
};
struct PromoteEvent {
    MemberId m_member;
};
struct RemoveMemberEvent {
    MemberId m_member;
};
struct ChangeAddressEvent {
    MemberId m_member;
    std::string m_address;
};
/** The VM of the voter has lost the voter's data folder: it answered a message to the voter under another id. */
struct VoterLostEvent {
    MemberId m_voter;
};
/** Initial configuration of a new cluster. Refused unless the member is fresh and a voter of the configuration. */
struct FormClusterEvent {
    Configuration m_configuration;
};

using RaftEvent = std::variant<TickEvent, MessageEvent, ProposalEvent, SnapshotTakenEvent, AddLearnerEvent,
    PromoteEvent, RemoveMemberEvent, ChangeAddressEvent, VoterLostEvent, FormClusterEvent>;

} // namespace flamingo
