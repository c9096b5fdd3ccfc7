#pragma once

#include "base/reason.h"
#include "consensus/logentry.h"
#include "consensus/raftmessage.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingo {

/**
 * Actions that step() requests from its caller, to be executed in the order of the data members.
 *
 * All changes up to and including m_append must be durable before a message is sent or an entry is applied. If a change
 * cannot be made durable, the member must stop.
 */
struct Effects {
    /** A complete snapshot received from the leader. */
    struct InstalledSnapshot {
        SnapshotInfo m_info;
        std::string m_bytes;
    };

    bool m_persistTermAndVote = false; // RaftState::m_term or m_votedFor changed
    std::optional<InstalledSnapshot> m_installSnapshot;
    std::optional<LogIndex> m_truncateFrom; // first entry to drop from the stored log
    std::vector<LogEntryPtr> m_append;
    std::vector<RaftMessage> m_messages;
    std::vector<LogEntryPtr> m_apply; // newly committed entries
    bool m_roleChanged = false; // role, known leader or term changed
    std::optional<Reason> m_refusal; // why the event was refused; a refused event changes nothing
    std::optional<Reason> m_fault; // violated invariant of the log; the member must stop
};

} // namespace flamingo
