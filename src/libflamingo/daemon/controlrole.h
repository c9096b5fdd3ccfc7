#pragma once

#include "base/reason.h"
#include "base/time.h"
#include "consensus/logtypes.h"
#include "consensus/membersettings.h"
#include "control/controlservicesettings.h"
#include "daemon/peerlinks.h"
#include "link/linkid.h"
#include "settings/socketaddress.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace flamingo {

class ConsensusMember;
class ControlApi;
class ControlService;
class LinkServer;
struct AdminReply;
struct AdminRequest;
struct ControlProtocol;
struct MemberCallbacks;

/** Settings of the control role: the addresses it listens on and its membership in the replicated log. */
struct ControlRoleSettings {
    std::string m_listenAddress; // IP address for links of members and entry VMs
    std::uint16_t m_listenPort = 0;
    MemberSettings m_member;
    ControlServiceSettings m_service;
    SocketAddress m_api; // address of the HTTP interface, see ControlApi; port 0 disables it
    const ControlProtocol* m_protocol = nullptr; // of the HTTP interface; null disables it
};

/**
 * The control role of a daemon: a member of the replicated log, the state machine that the log replicates, and the
 * links to other members and to entry VMs.
 *
 * Thread safety: none; all calls on the thread of the io_context, which outlives the object.
 */
class ControlRole {
public:
    // Interval of attempts to reopen the log after a disk error, which may be temporary, such as a full disk.
    static constexpr Milliseconds reopenInterval { 1000 };

    /** onFailure is called once if the role cannot continue. It is not called for disk errors, see reopenInterval. */
    ControlRole(
        boost::asio::io_context& io, ControlRoleSettings settings, std::function<void(const Reason&)> onFailure);
    ~ControlRole();
    ControlRole(const ControlRole&) = delete;
    ControlRole& operator=(const ControlRole&) = delete;

    /** Opens the data folder and the port. Returns false and sets the reason if that fails. Called once. */
    bool start(MonotonicTime now, Reason& reason);
    /** Handles timers that have expired; to be called every 20 to 50 ms after start(). */
    void tick(MonotonicTime now);
    /** Closes the port of the HTTP interface; calls in flight are still answered. */
    void stopApi();
    /** Closes the ports and the links. No callback is called afterwards. */
    void stop();

    /** Returns whether the log is open; it is closed after a disk error until it can be reopened. */
    bool isOpen() const { return m_member != nullptr; }
    /** Returns the member of the replicated log. Precondition: isOpen(). */
    const ConsensusMember& member() const { return *m_member; }
    /** Returns the service that holds the replicated state. Precondition: start() succeeded. */
    const ControlService& service() const { return *m_service; }

private:
    void makeService();
    MemberCallbacks memberCallbacks();
    void scheduleFlush();
    void linkOpened(LinkId link, const std::string& path);
    void linkMessage(LinkId link, const std::string& message);
    void linkClosed(LinkId link);
    void fail(const Reason& reason);
    bool openMember(MonotonicTime now, Reason& reason);
    void rejoinIfRemoved(MonotonicTime now);
    void closeMember();
    void reopenIfFailed(MonotonicTime now);
    /** Logs the voters if this member leads and they or the unresponsive ones have changed. Precondition: isOpen(). */
    void logVoters(MonotonicTime now);
    /** Logs the voters that are known to have lost their data folders if they have changed. Precondition: isOpen(). */
    void logLostVoters();
    AdminReply administer(const AdminRequest& request);

    boost::asio::io_context& m_io;
    ControlRoleSettings m_settings;
    std::function<void(const Reason&)> m_onFailure;
    PeerLinks m_peers;
    std::unique_ptr<ControlService> m_service;
    std::unique_ptr<ConsensusMember> m_member;
    std::unique_ptr<LinkServer> m_server;
    std::unique_ptr<ControlApi> m_api;
    std::map<LinkId, bool> m_isEntryLink; // for each open link: true for entry VMs, false for other members
    std::uint64_t m_services = 0; // number of services created so far, one each time the log is opened
    LogIndex m_loggedConfiguration; // of the last log line about the voters; zero if this member does not lead
    std::vector<MemberId> m_loggedUnresponsive;
    std::set<MemberId> m_loggedLost;
    bool m_stopped = false;
    MonotonicTime m_reopenAt {}; // earliest time of the next attempt to reopen the log
};

} // namespace flamingo
