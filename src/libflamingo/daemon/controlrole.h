#pragma once

#include "base/reason.h"
#include "base/time.h"
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
#include <string>

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

/** Where a control VM listens, and its part in the replicated log. */
struct ControlRoleSettings {
    std::string m_listenAddress; // IP address
    std::uint16_t m_listenPort = 0;
    MemberSettings m_member;
    ControlServiceSettings m_service;
    SocketAddress m_api; // HTTP interface for operators and endpoints of routes; none without a port
    const ControlProtocol* m_protocol = nullptr; // of that interface
};

/**
 * The control role of a daemon: a member of the replicated log, the replicated state above it, and
 * the links to other members and to entry VMs.
 *
 * Thread safety: none; all calls on the thread of the io_context, which outlives the object.
 */
class ControlRole {
public:
    // After an error of the disk the log is opened again at this interval: a full disk may be cleared.
    static constexpr Milliseconds reopenInterval { 1000 };

    /** The failure handler is called once if the role cannot go on. A disk that refuses writes is no such case. */
    ControlRole(boost::asio::io_context& io, ControlRoleSettings settings, std::function<void(const Reason&)> failed);
    ~ControlRole();
    ControlRole(const ControlRole&) = delete;
    ControlRole& operator=(const ControlRole&) = delete;

    /** Opens the data folder and the port. Returns false and a reason if that fails. Called once. */
    bool start(MonotonicTime now, Reason& reason);
    /** Advances timers; to be called every 20 to 50 ms after start(). */
    void tick(MonotonicTime now);
    /** Closes the HTTP interface; calls that are under way are still answered. */
    void stopApi();
    /** Closes the port and the links. Nothing is called back afterwards. */
    void stop();

    /** Returns whether the log is open; it is not while its disk refuses writes. */
    bool isOpen() const { return m_member != nullptr; }
    /** Returns the member of the replicated log. Precondition: isOpen(). */
    const ConsensusMember& member() const { return *m_member; }
    /** Returns the replicated state's service. Precondition: start() succeeded. */
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
    AdminReply administer(const AdminRequest& request);

    boost::asio::io_context& m_io;
    ControlRoleSettings m_settings;
    std::function<void(const Reason&)> m_failed;
    PeerLinks m_peers;
    std::unique_ptr<ControlService> m_service;
    std::unique_ptr<ConsensusMember> m_member;
    std::unique_ptr<LinkServer> m_server;
    std::unique_ptr<ControlApi> m_api;
    std::map<LinkId, bool> m_links; // whether the link is one of an entry VM
    bool m_stopped = false;
    MonotonicTime m_reopenAt {};
};

} // namespace flamingo
