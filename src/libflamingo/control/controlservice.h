#pragma once

#include "base/reason.h"
#include "control/controlservicecounters.h"
#include "control/controlserviceports.h"
#include "control/controlservicesettings.h"
#include "control/controlstate.h"
#include "control/deltahistory.h"
#include "control/leasetable.h"
#include "control/messages.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace flamingo {

/**
 * Holds the replicated state of one control VM. On the leader it also serves entry VMs: it grants leases, sends
 * deltas, proposes commands, tracks which revisions are in force and expires endpoints and VMs.
 *
 * Runs on every control VM; followers apply log entries and redirect entry VMs to the leader.
 * Thread safety: none; all calls must come from one event loop. The times passed in must not decrease.
 */
class ControlService {
public:
    // A VM without a lease departs this long after a lease granted at its last renewal would have ended.
    static constexpr Milliseconds departureGrace { 2000 };
    // A VM whose state is older than this gets no lease, because a VM that renews without applying changes would keep
    // them from coming into force.
    static constexpr Milliseconds maxLag { 5000 };
    // An AdvanceTime command is proposed if no entry was applied for this long.
    static constexpr Milliseconds advanceTimePeriod { 60000 };
    // The service repeats its own proposals if they are not applied within this time.
    static constexpr Milliseconds proposalRetryInterval { 5000 };
    static constexpr std::size_t maxPendingCommands = 10000;
    // Limit on the full copies sent in one tick. A copy has 5 MB with 53,000 endpoints, so that more would saturate
    // the leader's network.
    static constexpr int maxFullCopiesPerTick = 4;

    // A read fails if no majority confirms the leader within this time.
    static constexpr Milliseconds readTimeout { 800 };

    /** Creates the service. The proposer is a random number that identifies this process in the log. */
    ControlService(ControlServicePorts ports, std::uint64_t proposer, ControlServiceSettings settings = {});

    // Events of links with entry VMs.
    void onLinkOpened(LinkId link);
    /** Handles a message. Returns false and sets lastReason() if the link must be closed because of it. */
    bool onMessage(LinkId link, std::string_view bytes, MonotonicTime now);
    void onLinkClosed(LinkId link);

    // Events of the replicated log.
    /**
     * Applies a committed entry; to be called in log order on every control VM.
     *
     * Returns false and sets lastReason() for an entry that this version cannot decode. The process must then
     * stop, because its state would diverge from the other control VMs.
     */
    bool onApplied(std::string_view entry, MonotonicTime now);
    /** Returns the encoded state for a snapshot of the log. */
    std::string takeSnapshot() const;
    /** Replaces the state. Returns false, sets lastReason() and changes nothing if the snapshot is invalid. */
    bool restoreSnapshot(std::string_view bytes);
    /** To be called when this VM becomes leader, stops being leader or leads a new term. */
    void onRoleChanged(MonotonicTime now);

    // Requests of the interface on this VM.
    /**
     * Proposes the command and calls the handler once it is applied.
     *
     * The result is NotLeader (did not run) if this VM is not the leader, and CommandOutcomeUnknown if it stops being
     * the leader before the command is applied. The handler may be called before this function returns.
     */
    void submit(Command command, std::function<void(const CommandResult&)> handler);
    /**
     * Calls the handler with true once a majority has confirmed, after this call, that this VM is the leader: state()
     * then contains every change that was acknowledged before the call. Calls it with false if this VM is not the
     * leader or the confirmation takes longer than readTimeout.
     */
    void confirmRead(std::function<void(bool)> handler, MonotonicTime now);
    /** Records that the endpoint renewed at this VM; has no effect for an unknown endpoint. */
    void recordEndpointRenewal(const EndpointId& endpoint, MonotonicTime now);
    /** Follows a change of the role of this VM, also if it was not reported by onRoleChanged() yet. */
    void refreshRole(MonotonicTime now);
    /** Returns whether this VM leads and state() contains every change that was acknowledged before its term. */
    bool isReady() const { return m_ready; }
    /** Returns whether a command about the endpoint was proposed on this VM and its outcome is not known yet. */
    bool hasEndpointCommandInFlight(const EndpointId& endpoint) const;

    /** Sends state updates and expires reads, leases, endpoints and VMs. To be called every 20 to 200 ms. */
    void tick(MonotonicTime now);

    /**
     * Returns whether the revision is in force on every VM that may serve.
     *
     * If it is not, the leader starts to bring the revision into force: it refuses leases below it once all current
     * holders have confirmed it or lost their leases. Always false on a VM that is not the leader, and during the
     * first lease period of a leader, which does not know the holders of earlier leases.
     */
    bool checkInForce(Revision revision, MonotonicTime now);

    /** Returns the number that identifies the proposals of this service in the log. */
    std::uint64_t proposer() const { return m_proposer; }
    const ControlState& state() const { return m_state; }
    /** Returns the leases of the current term, for display; empty if this VM is not the leader. */
    const LeaseTable& leases() const { return m_leases; }
    const ControlServiceCounters& counters() const { return m_counters; }
    const Reason& lastReason() const { return m_reason; }

private:
    /** State of the link with one entry VM. */
    struct Session {
        std::optional<Hello> m_hello;
        Revision m_base; // revision of the state that the VM is known to have
        std::uint64_t m_baseDigest = 0; // digest of that state
        std::optional<Revision> m_inFlight; // revision of the delta or full copy that the VM has not yet confirmed
        std::vector<std::string> m_addresses; // addresses of the control VMs as sent last
    };
    /** A proposed command whose sender waits for the result. */
    struct PendingCommand {
        LinkId m_link;
        std::uint64_t m_sequence = 0;
        std::function<void(const CommandResult&)> m_handler; // set instead of the link for a local command
    };
    /** A read that waits for a majority to confirm the leader. */
    struct PendingRead {
        MonotonicTime m_since; // time of the request
        std::function<void(bool)> m_handler;
    };
    using VmProcess = std::pair<VmId, Incarnation>;

    void becomeReady(MonotonicTime now);
    void loseLeadership();
    // True also before the leader is ready, so that it keeps its links: it becomes ready with its first commit.
    bool isLeader() const { return m_leaderSince.has_value(); }
    void send(LinkId link, const ControlMessage& message);
    void sendNotLeader(LinkId link, std::uint64_t sequence);
    void sendAddresses(LinkId link, Session& session, const std::vector<std::string>& addresses);

    bool handle(LinkId link, Session& session, const Hello& hello, MonotonicTime now);
    bool handle(LinkId link, Session& session, const Renew& renew, MonotonicTime now);
    bool handle(LinkId link, Session& session, const CommandRequest& request, MonotonicTime now);
    bool handle(LinkId link, Session& session, const StatusRequest& request, MonotonicTime now);
    bool handle(LinkId link, Session& session, const AdminRequest& request, MonotonicTime now);
    template <typename Other> bool handle(LinkId, Session&, const Other&, MonotonicTime) { return refuseMessage(); }
    bool refuseMessage();
    bool isInForce(Revision revision, MonotonicTime now) const;
    std::optional<Reason> checkCommand(const Session& session, const Command& command) const;

    void recordRenewals(const Session& session, const Renew& renew, MonotonicTime now);
    void proposeAdmissionIfNeeded(const Session& session, MonotonicTime now);
    void grant(LinkId link, const Session& session, const Renew& renew, MonotonicTime now);
    // Returns the end of the lease that may be granted now, or nothing if none may be granted.
    std::optional<MonotonicTime> leaseEnd(const Session& session, Revision applied, MonotonicTime now);
    bool hasSession(const VmProcess& process) const;

    bool proposeCommand(Command command, std::uint64_t number);
    // Proposes a command of the service itself unless one with the same key was proposed a short time ago. Returns
    // whether it was proposed.
    bool proposeInternal(const std::string& key, CommandBody body, MonotonicTime now);
    void updateEndpointsLastHeard(const std::vector<Change>& changes, MonotonicTime now);
    void replyToPending(std::uint64_t number, const CommandResult& result);
    void forgetEndpointCommand(std::uint64_t number);

    void pushState(LinkId link, Session& session);
    const std::string* encodedDelta(Revision base, std::uint64_t baseDigest);
    void sendFullCopy(LinkId link);
    void sendEncoded(LinkId link, const std::string& bytes);

    void updateLagFloor(MonotonicTime now);
    void completeReads(MonotonicTime now);
    void expireEndpoints(MonotonicTime now);
    void departVms(MonotonicTime now);
    void removeVms(MonotonicTime now);

    ControlServicePorts m_ports;
    std::uint64_t m_proposer;
    ControlServiceSettings m_settings;
    ControlState m_state;
    DeltaHistory m_history;
    std::vector<Change> m_changes; // changes of the entry being applied
    ControlServiceCounters m_counters;
    Reason m_reason;
    MonotonicTime m_lastApplied;

    std::map<LinkId, Session> m_sessions;
    std::map<Revision, std::string> m_encodedDeltas; // deltas to the current revision, by base revision
    int m_fullCopiesThisTick = 0;
    std::optional<std::pair<Revision, std::string>> m_encodedCopy; // last full copy and its revision

    // State of the current term; m_leaderSince is empty if this VM is not the leader.
    std::optional<MonotonicTime> m_leaderSince;
    bool m_ready = false;
    LeaseTable m_leases;
    Revision m_requestedRevision; // greatest revision that is to come into force
    Revision m_lagFloor; // revision of the state maxLag ago; VMs below it get no lease
    std::map<MonotonicTime, Revision> m_lagSamples; // revisions of the last maxLag, by the time first seen
    std::map<VmProcess, MonotonicTime> m_vmLastHeard; // last hello or renewal
    std::unordered_map<EndpointId, MonotonicTime> m_endpointLastHeard; // last registration or renewal
    MonotonicTime m_silenceCountedFrom; // missing renewals before this time are ignored
    MonotonicTime m_lastTick;
    MonotonicTime m_nextExpiry;
    std::uint64_t m_lastNumber = 0; // number of the last proposal of this process
    std::map<std::uint64_t, PendingCommand> m_pending;
    std::vector<PendingRead> m_reads; // in order of arrival
    std::map<std::string, std::pair<std::uint64_t, MonotonicTime>> m_internalProposals; // number and time, by purpose
    std::unordered_map<std::uint64_t, std::vector<EndpointId>> m_endpointCommands; // endpoints of proposals in flight
    std::unordered_map<EndpointId, std::size_t> m_endpointsInFlight; // number of those proposals for each endpoint
};

} // namespace flamingo
