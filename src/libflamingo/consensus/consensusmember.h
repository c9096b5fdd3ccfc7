#pragma once

#include "base/reason.h"
#include "consensus/bootstrap.h"
#include "consensus/effects.h"
#include "consensus/logstorage.h"
#include "consensus/membersettings.h"
#include "consensus/memberview.h"
#include "consensus/raftevent.h"
#include "consensus/raftstate.h"
#include "consensus/voterresponse.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingo {

/**
 * Functions that a ConsensusMember calls on its owner.
 *
 * They are called from within the member's methods, on the owner's thread. They may call propose() and the getters,
 * but no other method of the member.
 */
struct MemberCallbacks {
    // Sends a frame to the control address. May drop the frame; must not block.
    std::function<void(const std::string& address, std::string frame)> m_send;
    // Applies a committed application entry. Called once for each entry, in ascending order of the index.
    std::function<void(LogIndex index, const std::string& bytes)> m_apply;
    // Returns the serialised application state after the last applied entry.
    std::function<std::string()> m_takeSnapshot;
    // Replaces the application state. Returns false and sets the reason if the bytes are invalid; the member then
    // stops.
    std::function<bool(LogIndex index, const std::string& bytes, Reason& reason)> m_restoreSnapshot;
    // Called after the role, the term or the known leader changed. An owner whose member is no longer the leader must
    // treat its unapplied proposals as having an unknown outcome.
    std::function<void()> m_roleChanged;
    // Called when the first entry of a batch is proposed. The owner calls flush() once it has proposed all pending
    // entries. If not set, each proposal is written separately.
    std::function<void()> m_scheduleFlush;
    // Called when the member has stopped permanently, for example because the disk is full.
    std::function<void(const Reason&)> m_failed;
};

/**
 * One member of the replicated log: executes the Raft steps, stores the log and exchanges messages with other members.
 *
 * Entries are acknowledged and applied only once they are durable on this member and, if it is the leader, on a
 * majority of the voters. After a storage error the member stops: it sends no more messages and refuses all calls.
 * Times passed to the methods must not decrease. Thread safety: all methods on one thread.
 */
class ConsensusMember {
public:
    /** Opens the data folder and restores the latest snapshot. Returns nullptr and sets the reason on failure. */
    static std::unique_ptr<ConsensusMember> open(
        MemberSettings settings, MemberCallbacks callbacks, MonotonicTime now, Reason& reason);

    /** Advances the timers. Must be called every 20 to 50 ms. */
    void tick(MonotonicTime now);
    /** Handles a frame from another member. Returns false and sets lastReason() if the frame is invalid. */
    bool receive(std::string_view frame, MonotonicTime now);

    /**
     * Proposes an entry and returns the index that it will have once it is committed.
     *
     * If this member loses leadership before the entry is committed, another leader's entry may take that index.
     * Returns nullopt and sets lastReason() if the entry is refused.
     */
    std::optional<LogIndex> propose(std::string entry, MonotonicTime now);
    /** Writes and sends the proposals made since the last flush, as one batch. */
    void flush(MonotonicTime now);

    /**
     * Invites the VM to the cluster for one minute.
     *
     * The VM becomes a learner once it reports an empty data folder, and a voter once its log has caught up. Refused if
     * this member is not the leader. Returns false and sets lastReason() if the invitation is refused.
     */
    bool addLearner(const VmId& vm, const std::string& address, MonotonicTime now);
    /** Makes a learner that has caught up a voter. The leader also does this automatically. */
    bool promote(const MemberId& member, MonotonicTime now);
    /** Removes a member. Refused if the remaining voters that respond would not form a majority. */
    bool removeMember(const MemberId& member, MonotonicTime now);

    const MemberId& id() const { return m_raft.m_self; }
    Role role() const { return m_failed ? Role::Follower : m_raft.m_role; }
    Term term() const { return m_raft.m_term; }
    /** Returns the id of the known leader, or an empty id. */
    MemberId leader() const;
    /** Returns the control address of the known leader, or an empty string. */
    std::string leaderAddress() const;
    /** Returns the start of the latest heartbeat round that a majority acknowledged; nothing if not the leader. */
    std::optional<MonotonicTime> confirmedRoundStart() const;
    /** Returns when this member became leader; nothing if it is not the leader. */
    std::optional<MonotonicTime> leaderSince() const;
    /** Returns whether this member is the leader and has applied an entry of its own term. */
    bool readyToServe() const;
    LogIndex appliedIndex() const { return m_appliedIndex; }
    LogIndex commitIndex() const { return m_raft.m_commitIndex; }
    std::vector<MemberView> members(MonotonicTime now) const;
    /** Returns how the voters answer this member. Precondition: role() is Leader. */
    VoterResponse voterResponse(MonotonicTime now) const { return flamingo::voterResponse(m_raft, now); }
    /** Returns the control addresses of all members. */
    std::vector<std::string> memberAddresses() const;
    /** Returns whether the cluster has removed this member. See rejoinSettings(). */
    bool removed() const { return m_raft.m_removed; }
    bool failed() const { return m_failed; }
    /** Returns why the last failed call was refused, or why the member stopped. */
    const Reason& lastReason() const { return m_reason; }
    /** Returns why the cluster refused this member's last join request, or an empty string. */
    const std::string& joinRefusal() const { return m_bootstrap.m_joinRefusal; }
    /** Returns the Raft state, for tests and display. */
    const RaftState& raft() const { return m_raft; }

private:
    /** A VM that the leader polls until it reports an empty data folder. */
    struct Invitation {
        std::string m_address;
        MonotonicTime m_expiry;
        MonotonicTime m_nextQuery;
    };

    ConsensusMember(MemberSettings settings, MemberCallbacks callbacks, std::unique_ptr<LogStorage> storage);
    bool start(MonotonicTime now);
    /** Executes a step and its effects. Returns false if the event is refused or the member has stopped. */
    bool processEvent(const RaftEvent& event, MonotonicTime now);
    bool executeEffects(Effects& effects, MonotonicTime now);
    bool persist(Effects& effects);
    void sendMessages(Effects& effects);
    bool fillChunk(SnapshotChunk& chunk);
    void applyEntries(const std::vector<LogEntryPtr>& entries);
    bool takeSnapshotIfDue(MonotonicTime now);
    void sendBody(const std::string& address, const MemberId& to, RaftBody body);
    std::string addressOf(const MemberId& member) const;
    void runBootstrap(MonotonicTime now);
    void processInvitations(MonotonicTime now);
    void handleJoin(const RaftMessage& message, const JoinRequest& request, MonotonicTime now);
    /** Tells the sender of a message to a former id of this VM that the data of that id is lost. */
    void reportLostMember(const RaftMessage& message, MonotonicTime now);
    void handleInvitedStatus(const RaftMessage& message, const StatusAnswer& answer, MonotonicTime now);
    void handleJoinAnswer(const JoinAnswer& answer);
    bool dispatch(const RaftMessage& message, MonotonicTime now);
    /** Sets lastReason() and returns false. */
    bool refuse(ResultCode code, std::string text);
    /** Stops the member permanently and returns false. */
    bool stop(Reason reason);

    MemberSettings m_settings;
    MemberCallbacks m_callbacks;
    std::unique_ptr<LogStorage> m_storage;
    RaftState m_raft;
    BootstrapState m_bootstrap;
    std::vector<std::string> m_proposals; // accepted since the last flush, not yet written
    std::map<MemberId, std::string> m_addresses; // last address reported by each member itself
    std::map<VmId, Invitation> m_invitations;
    std::map<std::string, MonotonicTime> m_nextLossReport; // by address of the receiver
    std::map<LogIndex, std::shared_ptr<const SnapshotReader>> m_outgoingSnapshots; // being transferred
    LogIndex m_appliedIndex; // last entry passed to the application
    std::uint64_t m_appliedBytes = 0; // size of the entries applied since the last snapshot
    bool m_executingEffects = false; // proposals made meanwhile wait for the next flush
    bool m_failed = false;
    Reason m_reason;
};

} // namespace flamingo
