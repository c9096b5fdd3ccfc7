#pragma once

#include "base/time.h"
#include "control/messages.h"
#include "link/linkid.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace flamingo {

/**
 * What a ControlService needs from its surroundings. All are called on its loop. m_propose may call
 * onApplied() before it returns, as a log with one member does; nothing else may call back.
 */
struct ControlServicePorts {
    // Proposes an entry; false when this VM does not lead or takes no more entries.
    std::function<bool(std::string entry)> m_propose;
    // Whether this VM leads and has applied every entry that was committed before its term.
    std::function<bool()> m_readyToServe;
    // Send time of the latest heartbeat round that a majority acknowledged in the current term.
    std::function<std::optional<MonotonicTime>()> m_confirmedRoundStart;
    // When this VM became leader of the current term; nothing while it does not lead.
    std::function<std::optional<MonotonicTime>()> m_leaderSince;
    // Address of the leader for entry VMs, empty when unknown.
    std::function<std::string()> m_leaderAddress;
    // Addresses of all control VMs for entry VMs, as this VM knows them.
    std::function<std::vector<std::string>()> m_controlAddresses;
    // Sends one encoded message; a failure closes the link later through onLinkClosed().
    std::function<void(LinkId, const std::string& bytes)> m_send;
    std::function<LogTime()> m_wallClock;
    // Answers what concerns the members of the log. May be unset.
    std::function<AdminReply(const AdminRequest&)> m_administer;
};

} // namespace flamingo
