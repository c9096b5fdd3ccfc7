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
 * What a step asks the driver to do, in the order of the members.
 *
 * Everything up to m_append must be durable before a message is sent or an entry applied; if that fails, the
 * member must stop.
 */
struct Effects {
    struct InstalledSnapshot {
        SnapshotInfo m_info;
        std::string m_bytes;
    };

    bool m_persistVote = false; // term and vote
    std::optional<InstalledSnapshot> m_install;
    std::optional<LogIndex> m_truncateFrom;
    std::vector<LogEntryPtr> m_append;
    std::vector<RaftMessage> m_messages;
    std::vector<LogEntryPtr> m_apply;
    bool m_roleChanged = false; // role, leader or term
    std::optional<Reason> m_refused; // the event was refused and changed nothing
    std::optional<Reason> m_fault; // an invariant of the log is broken; the member must stop
};

} // namespace flamingo
