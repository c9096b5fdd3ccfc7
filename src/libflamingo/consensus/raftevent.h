#pragma once

#include "consensus/memberrecord.h"
#include "consensus/raftmessage.h"
#include "consensus/snapshotinfo.h"

#include <string>
#include <variant>
#include <vector>

namespace flamingo {

struct TickEvent { };
struct MessageEvent {
    RaftMessage m_message;
};
/** Application entries, appended as one batch; ignored unless the member leads. */
struct ProposalEvent {
    std::vector<std::string> m_entries;
};
/** The driver has written a snapshot of the state after m_info.m_index. */
struct SnapshotTakenEvent {
    SnapshotInfo m_info;
};

// Membership changes; refused with a Reason while another one is not committed.
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
/** First configuration of a new cluster. Precondition: the member is fresh. */
struct FormClusterEvent {
    Configuration m_configuration;
};

using RaftEvent = std::variant<TickEvent, MessageEvent, ProposalEvent, SnapshotTakenEvent, AddLearnerEvent,
    PromoteEvent, RemoveMemberEvent, ChangeAddressEvent, FormClusterEvent>;

} // namespace flamingo
