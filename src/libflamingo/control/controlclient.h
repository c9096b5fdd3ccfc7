#pragma once

#include "base/reason.h"
#include "control/claimrecord.h"
#include "control/controlclientports.h"
#include "control/controlclientsettings.h"
#include "control/leasekeeper.h"
#include "control/leaseview.h"
#include "control/messages.h"
#include "control/statecopy.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace flamingo {

using CommandHandler = std::function<void(CommandResult)>;
// The reason is set if there is no reply.
using AdminHandler = std::function<void(std::optional<AdminReply>, Reason)>;
using StatusHandler = std::function<void(std::optional<StatusReply>, Reason)>;

/**
 * Client of an entry VM for the control leader: finds the leader, renews the lease, keeps the published state up
 * to date and sends commands.
 *
 * Thread safety: none; all calls must come from one event loop, except that the object returned by leaseView()
 * may be read from any thread. The times passed in must not decrease. Each handler is called once and may
 * call back into the client.
 */
class ControlClient {
public:
    static constexpr Milliseconds renewInterval { 1000 };
    // Used until the VM may serve, so that it is admitted soon after its start.
    static constexpr Milliseconds startingRenewInterval { 200 };
    // A link is closed if a renewal is not answered within this time. The time is well below the lease period, so that
    // another control VM can still extend the lease.
    static constexpr Milliseconds answerTimeout { 1000 };
    static constexpr Milliseconds connectTimeout { 1000 };
    static constexpr Milliseconds initialBackoff { 50 };
    static constexpr Milliseconds maxBackoff { 1000 };
    // A VM without a state cannot serve. It uses this shorter limit for its first attempts, which take one to two
    // seconds.
    static constexpr Milliseconds maxStartingBackoff { 100 };
    static constexpr int maxStartingAttempts = 16;
    // Settlements of claims are resent for this long after they were submitted, even if their handler has timed out,
    // because an open claim blocks its request.
    static constexpr Milliseconds settleRetryPeriod { 60000 };
    static constexpr std::size_t maxPending = 10000;

    /** Creates a client without a link; the first tick() connects. */
    ControlClient(ControlClientSettings settings, ControlClientPorts ports);

    // Events of the link that ControlClientPorts::m_connect started. Events of earlier links are ignored.
    void onLinkOpened(LinkId link, MonotonicTime now);
    void onMessage(LinkId link, std::string_view bytes, MonotonicTime now);
    void onLinkClosed(LinkId link, MonotonicTime now);

    /** Renews the lease, reconnects and expires pending requests. To be called every 20 to 100 ms. */
    void tick(MonotonicTime now);

    /**
     * Sends the command to the leader and calls the handler with the result.
     *
     * The command is resent to each new leader until the timeout; a command id or run is applied only once. For
     * OpenClaim and SettleClaim the client sets this VM, its incarnation and the run. After the timeout the
     * result is ControlUnavailable (did not run) for OpenClaim and for a command that was never sent, otherwise
     * CommandOutcomeUnknown. An OpenClaim that timed out is abandoned: the VM must not send the request, and the
     * client settles the claim as not run.
     */
    void submit(Command command, Milliseconds timeout, CommandHandler handler, MonotonicTime now);

    /** Asks the leader whether every VM that may serve has applied the revision. */
    void queryStatus(Revision revision, Milliseconds timeout, StatusHandler handler, MonotonicTime now);

    /**
     * Sends the request, whose sequence the client sets, to the leader.
     *
     * The request is resent to each new leader until the timeout; membership changes are safe to repeat.
     */
    void administer(AdminRequest request, Milliseconds timeout, AdminHandler handler, MonotonicTime now);

    /**
     * Replaces the addresses of control VMs from the settings. An open link stays open, and an empty list has no
     * effect. Addresses announced by control VMs are tried before these.
     */
    void setControlAddresses(std::vector<std::string> addresses);

    /** Reports with the next lease renewal that an endpoint renewed at this VM. */
    void reportEndpointRenewal(const EndpointId& endpoint);

    /**
     * Ends the lease for a graceful shutdown. Call it when no request is in flight, because the VM must not send
     * requests afterwards. hasLeft() returns true once the leader has acknowledged it.
     */
    void leave(MonotonicTime now);
    bool hasLeft() const { return m_leaveAcknowledged; }

    /** Returns the current state; it is at revision 0 before the first update. */
    const std::shared_ptr<const PublishedState>& state() const { return m_state.current(); }
    /** Returns the changes that led to state(), for use within the m_onState port; null after a full copy. */
    const std::vector<Change>* lastChanges() const { return m_state.lastChanges(); }
    /** Returns a view of the lease that any thread may read. */
    std::shared_ptr<const LeaseView> leaseView() const { return m_leaseView; }
    /** Returns whether this VM may serve at the given time. */
    bool mayServe(MonotonicTime now) const { return m_leaseView->valid(now); }
    /** Returns the address of the open link; empty if no link is open. */
    std::string connectedAddress() const { return m_phase == Phase::Open ? m_linkAddress : std::string(); }
    /** Returns the greatest log time that a leader reported. */
    LogTime logTime() const { return m_logTime; }
    /** Returns the reason of the last failed connection or refused message. */
    const Reason& lastReason() const { return m_reason; }

private:
    enum class Phase {
        Waiting, // until the backoff ends
        Connecting,
        Open,
    };
    /** A request that waits for its reply. */
    struct Pending {
        std::variant<CommandRequest, StatusRequest, AdminRequest> m_request;
        MonotonicTime m_deadline; // the handler is called with a timeout at this time
        MonotonicTime m_retryUntil; // the request is resent on new links until this time
        bool m_everSent = false;
        CommandHandler m_commandHandler;
        StatusHandler m_statusHandler;
        AdminHandler m_adminHandler;
    };
    using PendingMap = std::map<std::uint64_t, Pending>;

    void connect(const std::string& address, MonotonicTime now);
    void abandonLink();
    void fail(Reason reason, MonotonicTime now);
    void followLeaderHint(const NotLeader& message, MonotonicTime now);
    void sendHello(bool wantFullCopy);
    void sendRenew(MonotonicTime now);
    void sendPending(Pending& pending);
    void send(const ControlMessage& message);

    void handle(const Grant& grant, MonotonicTime now);
    void handle(const NotLeader& message, MonotonicTime now);
    void handle(const ControlAddresses& message, MonotonicTime now);
    void updateCandidates();
    void handle(Delta& delta, MonotonicTime now);
    void handle(FullCopy& copy, MonotonicTime now);
    void handle(const CommandReply& reply, MonotonicTime now);
    void handle(const StatusReply& reply, MonotonicTime now);
    void handle(const AdminReply& reply, MonotonicTime now);
    template <typename Other> void handle(const Other&, MonotonicTime now) { refuseMessage(now); }
    void refuseMessage(MonotonicTime now);
    void handleStateUpdate(StateUpdate update, MonotonicTime now);

    const VmRecord* ownRecord() const;
    void updateLeaseView();
    void addPending(Pending pending);
    void prepareClaim(CommandBody& body);
    void recordClaimResult(const Command& command, const CommandResult& result);
    void expirePending(MonotonicTime now);
    void timeOut(Pending& pending, MonotonicTime now);
    void abandonClaim(const OpenClaim& open, MonotonicTime now);

    ControlClientSettings m_settings;
    ControlClientPorts m_ports;
    Reason m_reason;

    Phase m_phase = Phase::Waiting;
    LinkId m_link;
    std::string m_linkAddress;
    MonotonicTime m_phaseSince;
    MonotonicTime m_retryAt;
    std::vector<std::string> m_announcedAddresses; // addresses in the last ControlAddresses message
    std::vector<std::string> m_candidates; // addresses to try in turn
    std::size_t m_nextAddress = 0;
    std::string m_leaderHint; // address from the last NotLeader message, to try next
    int m_failures = 0; // failed links since the last grant
    int m_hintsFollowed = 0; // leader hints followed since the last grant

    StateCopy m_state;
    LeaseKeeper m_lease;
    std::shared_ptr<LeaseView> m_leaseView;
    // Revision of the admission of this VM that the leader reported as in force; it stays in force until the VM
    // departs.
    std::optional<Revision> m_admittedIn;
    LogTime m_logTime;
    std::uint64_t m_sequence = 0;
    MonotonicTime m_nextRenew;
    std::optional<MonotonicTime> m_unansweredSince; // send time of the first unanswered renewal on this link
    std::set<EndpointId> m_endpointRenewals;
    bool m_leaving = false;
    bool m_leaveAcknowledged = false;
    std::uint64_t m_leavingSequence = 0; // sequence of the first renewal with the leaving flag

    PendingMap m_pending;
    std::uint64_t m_lastRun = 0;
    std::map<ClaimKey, std::uint64_t> m_openRuns; // run numbers of the claims that this VM holds
};

} // namespace flamingo
