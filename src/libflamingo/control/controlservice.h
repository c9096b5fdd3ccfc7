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
 * The replicated state of one control VM, and while it leads the service to entry VMs: leases,
 * deltas, commands, in-force tracking, expiry of endpoints and VMs.
 *
 * Runs on every control VM; followers apply entries and send entry VMs to the leader.
 * Thread safety: none; all calls come from one event loop. The times passed in never decrease.
 */
class ControlService {
public:
    // A VM without a lease departs this long after its last renewal could have been granted.
    static constexpr Milliseconds departureGrace { 2000 };
    // A VM whose state is older than this gets no lease: one that renews without applying changes
    // would keep them from coming into force.
    static constexpr Milliseconds maximumLag { 5000 };
    static constexpr Milliseconds advanceTimePeriod { 60000 };
    // A proposal of this service that was not applied is proposed again after this time.
    static constexpr Milliseconds proposalRetry { 5000 };
    static constexpr std::size_t maximumPendingCommands = 10000;
    // Full copies sent in one tick. At 5 MB for 53,000 endpoints more would fill the leader's network.
    static constexpr int maximumFullCopiesPerTick = 4;

    // A read that no majority confirms by then is given up.
    static constexpr Milliseconds readTimeout { 800 };

    /** Creates the service. The proposer number is random and differs for each process. */
    ControlService(ControlServicePorts ports, std::uint64_t proposer, ControlServiceSettings settings = {});

    // Events of links with entry VMs.
    void onLinkOpened(LinkId link);
    /** Handles a message; returns false and fills lastReason() when the link must be closed for it. */
    bool onMessage(LinkId link, std::string_view bytes, MonotonicTime now);
    void onLinkClosed(LinkId link);

    // Events of the replicated log.
    /**
     * Applies a committed entry, in log order on every control VM.
     *
     * Returns false and fills lastReason() for an entry that this version cannot read. The process
     * must then stop, since its state would differ from the others'.
     */
    bool onApplied(std::string_view entry, MonotonicTime now);
    /** Returns the state for a snapshot of the log. */
    std::string takeSnapshot() const;
    /** Replaces the state; returns false, fills lastReason() and changes nothing for a bad snapshot. */
    bool restoreSnapshot(std::string_view bytes);
    /** To be called when this VM starts or stops to lead, or leads a new term. */
    void onRoleChanged(MonotonicTime now);

    // Requests on this VM itself.
    /**
     * Proposes the command and calls the handler once it is applied.
     *
     * The result is NotLeader (did not run) if this VM does not lead and CommandOutcomeUnknown if it stops leading
     * before the command is applied. The handler may be called before this returns.
     */
    void submit(Command command, std::function<void(const CommandResult&)> handler);
    /**
     * Calls the handler with true once a majority has confirmed, after this call, that this VM leads: state() then
     * holds every change that was acknowledged before the call. With false if it does not lead or the confirmation
     * takes longer than readTimeout.
     */
    void confirmRead(std::function<void(bool)> handler, MonotonicTime now);
    /** Notes that the endpoint renewed at this VM; without effect for an unknown one. */
    void noteRenewal(const EndpointId& endpoint, MonotonicTime now);

    /** Sends deltas and expires what is due. To be called every 20 to 200 ms. */
    void tick(MonotonicTime now);

    /**
     * Returns whether the revision is in force on every VM that may serve.
     *
     * While it is false, asking makes the leader wait for the revision. Always false on a VM that does
     * not lead and during the first lease period of a leader, who does not know yet what holders there are.
     */
    bool checkInForce(Revision revision, MonotonicTime now);

    const ControlState& state() const { return m_state; }
    /** Returns the leases of the current term, for display; empty while this VM does not lead. */
    const LeaseTable& leases() const { return m_leases; }
    const ControlServiceCounters& counters() const { return m_counters; }
    const Reason& lastReason() const { return m_reason; }

private:
    struct Session {
        std::optional<Hello> m_hello;
        Revision m_base; // revision and digest of the state that the VM is known to have
        std::uint64_t m_baseDigest = 0;
        std::optional<Revision> m_inFlight; // revision of the delta or copy that is not yet confirmed
        std::vector<std::string> m_addresses; // of control VMs, as sent last
    };
    struct PendingCommand {
        LinkId m_link;
        std::uint64_t m_sequence = 0;
        std::function<void(const CommandResult&)> m_handler; // set instead of the link for a request on this VM
    };
    struct PendingRead {
        MonotonicTime m_since;
        std::function<void(bool)> m_handler;
    };
    using VmProcess = std::pair<VmId, Incarnation>;

    void refreshRole(MonotonicTime now);
    void becomeReady(MonotonicTime now);
    void loseLeadership();
    // A leader that is not ready yet keeps its links: it will be ready within a commit.
    bool leads() const { return m_leaderSince.has_value(); }
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

    void noteRenewals(const Session& session, const Renew& renew, MonotonicTime now);
    void considerAdmission(const Session& session, MonotonicTime now);
    void grant(LinkId link, const Session& session, const Renew& renew, MonotonicTime now);
    std::optional<MonotonicTime> leaseEnd(const Session& session, Revision applied, MonotonicTime now);
    bool hasSession(const VmProcess& process) const;

    bool proposeCommand(Command command, std::uint64_t number);
    void proposeOwn(const std::string& key, CommandBody body, MonotonicTime now);
    void afterApply(const std::vector<Change>& changes, MonotonicTime now);
    void replyToPending(std::uint64_t number, const CommandResult& result);

    void pushState(LinkId link, Session& session);
    const std::string* encodedDelta(Revision base, std::uint64_t baseDigest);
    void sendFullCopy(LinkId link);
    void sendEncoded(LinkId link, const std::string& bytes);

    void noteLag(MonotonicTime now);
    void finishReads(MonotonicTime now);
    void expireEndpoints(MonotonicTime now);
    void departVms(MonotonicTime now);
    void removeVms(MonotonicTime now);

    ControlServicePorts m_ports;
    std::uint64_t m_proposer;
    ControlServiceSettings m_settings;
    ControlState m_state;
    DeltaHistory m_history;
    std::vector<Change> m_changes; // of the entry being applied
    ControlServiceCounters m_counters;
    Reason m_reason;
    MonotonicTime m_lastApplied;

    std::map<LinkId, Session> m_sessions;
    std::map<Revision, std::string> m_encodedDeltas; // to the current revision, by base
    int m_fullCopiesThisTick = 0;
    std::optional<std::pair<Revision, std::string>> m_encodedCopy;

    // Of the current term, empty while not leading.
    std::optional<MonotonicTime> m_leaderSince;
    bool m_ready = false;
    LeaseTable m_leases;
    Revision m_wanted; // greatest revision that someone asks to be in force
    Revision m_lagFloor; // the state was at least at this revision maximumLag ago
    std::map<MonotonicTime, Revision> m_lagSamples;
    std::map<VmProcess, MonotonicTime> m_vmHeard;
    std::unordered_map<EndpointId, MonotonicTime> m_endpointHeard;
    MonotonicTime m_graceFrom; // silence before this time does not count
    MonotonicTime m_lastTick;
    MonotonicTime m_nextExpiry;
    std::uint64_t m_lastNumber = 0;
    std::map<std::uint64_t, PendingCommand> m_pending;
    std::vector<PendingRead> m_reads; // in order of arrival
    std::map<std::string, std::pair<std::uint64_t, MonotonicTime>> m_ownProposals; // by what they do
};

} // namespace flamingo
