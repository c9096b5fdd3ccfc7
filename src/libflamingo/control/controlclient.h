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
// Without a reply the reason says why.
using AdminHandler = std::function<void(std::optional<AdminReply>, Reason)>;
using StatusHandler = std::function<void(std::optional<StatusReply>, Reason)>;

/**
 * The link of an entry VM to the control leader: finds the leader, keeps the lease and the published
 * state, carries commands.
 *
 * Thread safety: none; all calls come from one event loop, except that the object behind leaseView()
 * may be read from any thread. The times passed in never decrease. Handlers are called once each and
 * may call back into the client.
 */
class ControlClient {
public:
    static constexpr Milliseconds renewInterval { 1000 };
    // Until the VM may serve it asks more often, to be admitted soon after it has started.
    static constexpr Milliseconds startingRenewInterval { 200 };
    // A link on which a renewal stays unanswered this long is given up. Well below the lease period,
    // so that another control VM can still extend the lease.
    static constexpr Milliseconds answerTimeout { 1000 };
    static constexpr Milliseconds connectTimeout { 1000 };
    static constexpr Milliseconds firstBackoff { 50 };
    static constexpr Milliseconds maximumBackoff { 1000 };
    // A VM without a state cannot serve, and looks for a leader more often for a second or two.
    static constexpr Milliseconds maximumStartingBackoff { 100 };
    static constexpr int startingTries = 16;
    // Settlements of claims are sent again until this long after they were submitted, also when
    // nobody waits for the result any more: an open claim blocks its request.
    static constexpr Milliseconds settlePersistence { 60000 };
    static constexpr std::size_t maximumPending = 10000;

    /** Creates a client without a link; the first tick() connects. */
    ControlClient(ControlClientSettings settings, ControlClientPorts ports);

    // Events of the link that m_connect started. Events of earlier links are ignored.
    void onLinkOpened(LinkId link, MonotonicTime now);
    void onMessage(LinkId link, std::string_view bytes, MonotonicTime now);
    void onLinkClosed(LinkId link, MonotonicTime now);

    /** Renews, reconnects and times out what is due. To be called every 20 to 100 ms. */
    void tick(MonotonicTime now);

    /**
     * Has the leader apply the command and calls the handler with the result.
     *
     * The command is sent again to the next leader until the timeout: the same command id or run
     * applies once. For OpenClaim and SettleClaim the client fills in this VM, its incarnation and the
     * run. After the timeout the result is ControlUnavailable (did not run) for OpenClaim and for a
     * command that was never sent, otherwise CommandOutcomeUnknown. An OpenClaim that timed out is
     * given up: the VM must not send the request, and the client settles it as not run.
     */
    void submit(Command command, Milliseconds timeout, CommandHandler handler, MonotonicTime now);

    /** Asks whether a revision is in force everywhere. */
    void queryStatus(Revision revision, Milliseconds timeout, StatusHandler handler, MonotonicTime now);

    /**
     * Has the leader answer the request, whose sequence is set here.
     *
     * A membership change is sent again to the next leader until the timeout; repeating it does no harm.
     */
    void administer(AdminRequest request, Milliseconds timeout, AdminHandler handler, MonotonicTime now);

    /**
     * Replaces the addresses of control VMs that the settings name; an open link stays. Without effect for an empty
     * list. Addresses that control VMs have told are tried as well, and first.
     */
    void setControlAddresses(std::vector<std::string> addresses);

    /** Passes on that an endpoint renewed here, with the next renewal of the lease. */
    void noteEndpointRenewal(const EndpointId& endpoint);

    /**
     * Ends the lease for a graceful shutdown; call when no request is in flight any more, since the VM
     * may send nothing afterwards. hasLeft() tells when the leader knows.
     */
    void leave(MonotonicTime now);
    bool hasLeft() const { return m_left; }

    /** Returns the state that was given out last; at revision 0 before the first one. */
    const std::shared_ptr<const PublishedState>& state() const { return m_state.current(); }
    /** Returns the changes that led to state(), for use within m_onState; null after a full copy. */
    const std::vector<Change>* lastChanges() const { return m_state.lastChanges(); }
    /** Returns the lease for use on any thread. */
    std::shared_ptr<const LeaseView> leaseView() const { return m_leaseView; }
    /** Returns whether this VM may serve at the time. */
    bool mayServe(MonotonicTime now) const { return m_leaseView->valid(now); }
    /** Returns the address of the open link, empty without one. */
    std::string connectedAddress() const { return m_phase == Phase::Open ? m_linkAddress : std::string(); }
    /** Returns the greatest log time that the leader reported. */
    LogTime logTime() const { return m_logTime; }
    const Reason& lastReason() const { return m_reason; }

private:
    enum class Phase {
        Waiting, // for the backoff to end
        Connecting,
        Open,
    };
    struct Pending {
        std::variant<CommandRequest, StatusRequest, AdminRequest> m_request;
        MonotonicTime m_deadline; // of the handler
        MonotonicTime m_retryUntil; // sent again until then
        bool m_everSent = false;
        CommandHandler m_commandHandler;
        StatusHandler m_statusHandler;
        AdminHandler m_adminHandler;
    };
    using PendingMap = std::map<std::uint64_t, Pending>;

    void connect(const std::string& address, MonotonicTime now);
    void abandonLink();
    void fail(Reason reason, MonotonicTime now);
    void followHint(const NotLeader& message, MonotonicTime now);
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
    void afterUpdate(StateUpdate update, MonotonicTime now);

    const VmRecord* ownRecord() const;
    void updateLeaseView();
    void addPending(Pending pending);
    void prepareClaim(CommandBody& body);
    void noteClaimResult(const Command& command, const CommandResult& result);
    void expirePending(MonotonicTime now);
    void timeOut(Pending& pending, MonotonicTime now);
    void giveUpClaim(const OpenClaim& open, MonotonicTime now);

    ControlClientSettings m_settings;
    ControlClientPorts m_ports;
    Reason m_reason;

    Phase m_phase = Phase::Waiting;
    LinkId m_link;
    std::string m_linkAddress;
    MonotonicTime m_phaseSince;
    MonotonicTime m_retryAt;
    std::vector<std::string> m_announced; // addresses that a control VM told last
    std::vector<std::string> m_candidates; // addresses to try in turn
    std::size_t m_nextAddress = 0;
    std::string m_hint; // address to try next, from a NotLeader
    int m_failures = 0; // since the last grant
    int m_hintsFollowed = 0; // since the last grant

    StateCopy m_state;
    LeaseKeeper m_lease;
    std::shared_ptr<LeaseView> m_leaseView;
    // Admission that the leader reported as in force everywhere; it stays so until the VM departs.
    std::optional<Revision> m_admittedIn;
    LogTime m_logTime;
    std::uint64_t m_sequence = 0;
    MonotonicTime m_nextRenew;
    std::optional<MonotonicTime> m_unansweredSince; // first renewal on this link without an answer
    std::set<EndpointId> m_endpointRenewals;
    bool m_leaving = false;
    bool m_left = false;
    std::uint64_t m_leavingSequence = 0; // first renewal that said so

    PendingMap m_pending;
    std::uint64_t m_lastRun = 0;
    std::map<ClaimKey, std::uint64_t> m_openRuns; // claims that this VM holds
};

} // namespace flamingo
