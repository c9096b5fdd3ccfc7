#pragma once

#include "base/time.h"
#include "control/messages.h"
#include "link/linkid.h"

#include <cstddef>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace flamingo {

/** Endpoints that stopped renewing and are removed together. */
struct ExpiredEndpoints {
    std::vector<EndpointId> m_endpoints;
    std::size_t m_draining = 0; // number of those that were draining
};

/**
 * Functions through which a ControlService uses the replicated log, links and clocks. They are called on the loop
 * of the service. m_propose may call onApplied() before it returns, as a log with one member does; the others must
 * not call back into the service.
 */
struct ControlServicePorts {
    // Proposes an entry. Returns false if this VM is not the leader or accepts no more entries.
    std::function<bool(std::string entry)> m_propose;
    // Returns whether this VM is the leader and has applied every entry that was committed before its term.
    std::function<bool()> m_readyToServe;
    // Returns the send time of the latest heartbeat round that a majority acknowledged in the current term.
    std::function<std::optional<MonotonicTime>()> m_confirmedRoundStart;
    // Returns when this VM became leader of the current term; nothing if it is not the leader.
    std::function<std::optional<MonotonicTime>()> m_leaderSince;
    // Returns the address of the leader for entry VMs; empty if unknown.
    std::function<std::string()> m_leaderAddress;
    // Returns the addresses of all control VMs for entry VMs, as known to this VM.
    std::function<std::vector<std::string>()> m_controlAddresses;
    // Sends one encoded message; a send failure is reported later through onLinkClosed().
    std::function<void(LinkId, const std::string& bytes)> m_send;
    std::function<LogTime()> m_wallClock;
    // Called when the leader proposes to remove endpoints that stopped renewing. May be unset.
    std::function<void(const ExpiredEndpoints& expired, Milliseconds ttl)> m_onEndpointsExpired;
    // Answers a request about members, leases or claims, or changes the members of the log. May be unset.
    std::function<AdminReply(const AdminRequest&)> m_administer;
};

} // namespace flamingo
