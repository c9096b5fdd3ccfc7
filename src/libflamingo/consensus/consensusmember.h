#pragma once

#include "base/reason.h"
#include "consensus/bootstrap.h"
#include "consensus/effects.h"
#include "consensus/logstorage.h"
#include "consensus/membersettings.h"
#include "consensus/memberview.h"
#include "consensus/raftevent.h"
#include "consensus/raftstate.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingo {

/**
 * What a ConsensusMember asks of its owner.
 *
 * The functions are called from within the member's methods, on the owner's thread. They may call propose() and the
 * getters, and no other method.
 */
struct MemberCallbacks {
    // Sends a frame to the control address. May drop it; must not wait.
    std::function<void(const std::string& address, std::string frame)> m_send;
    // Applies a committed entry. Called once for each application entry, in order of index.
    std::function<void(LogIndex index, const std::string& bytes)> m_apply;
    // Returns the application's state after the last entry applied.
    std::function<std::string()> m_takeSnapshot;
    // Replaces the application's state. Returns false and a reason if the bytes are not valid; the member stops.
    std::function<bool(LogIndex index, const std::string& bytes, Reason& reason)> m_restoreSnapshot;
    // The role, the term or the known leader changed. A member that no longer leads must treat its proposals that
    // were not applied as of unknown outcome.
    std::function<void()> m_roleChanged;
    // The first entry of a batch was proposed; the owner calls flush() when it has proposed what it has at hand.
    // If not set, each proposal is written by itself.
    std::function<void()> m_scheduleFlush;
    // The member stopped for good, for example because the disk is full.
    std::function<void(const Reason&)> m_failed;
};

/**
 * One member of the replicated log: the log's state, its files and the messages to the other members.
 *
 * Entries are acknowledged and applied only once they are durable here and, for a leader, on a majority. After a
 * storage error the member stops: it sends nothing more and refuses all calls. Times passed to the methods must not
 * decrease. Thread safety: all methods on one thread.
 */
class ConsensusMember {
public:
    /** Opens the data folder and restores the latest snapshot; nullptr and a reason if that is not possible. */
    static std::unique_ptr<ConsensusMember> open(
        MemberSettings settings, MemberCallbacks callbacks, MonotonicTime now, Reason& reason);

    /** Advances timers. To be called every 20 to 50 ms. */
    void tick(MonotonicTime now);
    /** Handles a frame from another member. Returns false and keeps a reason if the frame is not valid. */
    bool receive(std::string_view frame, MonotonicTime now);

    /**
     * Proposes an entry and returns the index it has if it is committed.
     *
     * Another leader's entry takes that index if this member stops leading before the entry is committed.
     */
    std::optional<LogIndex> propose(std::string entry, MonotonicTime now);
    /** Writes and sends the proposals made since the last flush, as one batch. */
    void flush(MonotonicTime now);

    /**
     * Invites the VM to the cluster; it becomes a learner once it answers with an empty data folder, and a voter
     * once it has caught up. The invitation lasts for a minute. Precondition: this member leads.
     */
    bool addLearner(const VmId& vm, const std::string& address, MonotonicTime now);
    /** Makes a learner that has caught up a voter; this also happens by itself. */
    bool promote(const MemberId& member, MonotonicTime now);
    /** Removes a member, unless the rest could not form a majority of members that answer. */
    bool removeMember(const MemberId& member, MonotonicTime now);

    const MemberId& id() const { return m_raft.m_self; }
    Role role() const { return m_failed ? Role::Follower : m_raft.m_role; }
    Term term() const { return m_raft.m_term; }
    /** Returns the known leader's id, or an empty one. */
    MemberId leader() const;
    /** Returns the known leader's control address, or an empty text. */
    std::string leaderAddress() const;
    /** Returns when the latest heartbeat round that a majority acknowledged in this term was sent, while leader. */
    std::optional<MonotonicTime> confirmedRoundStart() const;
    /** Returns since when this member leads. */
    std::optional<MonotonicTime> leaderSince() const;
    /** Returns whether this member leads and has applied an entry of its own term. */
    bool readyToServe() const;
    LogIndex appliedIndex() const { return m_delivered; }
    LogIndex commitIndex() const { return m_raft.m_commit; }
    std::vector<MemberView> members(MonotonicTime now) const;
    /** Returns the control addresses of all members. */
    std::vector<std::string> memberAddresses() const;
    /** Returns whether the cluster has removed this member; its data folder then has to be emptied to rejoin. */
    bool removed() const { return m_raft.m_removed; }
    bool failed() const { return m_failed; }
    /** Returns why the last call was refused or why the member stopped. */
    const Reason& lastReason() const { return m_reason; }
    /** Returns why the cluster does not accept this member, or an empty text. */
    const std::string& joinRefusal() const { return m_bootstrap.m_lastRefusal; }
    /** Returns the log's state, for tests and display. */
    const RaftState& raft() const { return m_raft; }

private:
    struct Invitation {
        std::string m_address;
        MonotonicTime m_until;
        MonotonicTime m_nextQuery;
    };

    ConsensusMember(MemberSettings settings, MemberCallbacks callbacks, std::unique_ptr<LogStorage> storage);
    bool start(MonotonicTime now);
    bool run(const RaftEvent& event, MonotonicTime now);
    bool carryOut(Effects& effects, MonotonicTime now);
    bool persist(Effects& effects);
    void sendMessages(Effects& effects);
    bool fillChunk(SnapshotChunk& chunk);
    void deliver(const std::vector<LogEntryPtr>& entries);
    bool takeSnapshotIfDue(MonotonicTime now);
    void sendBody(const std::string& address, const MemberId& to, RaftBody body);
    std::string addressOf(const MemberId& member) const;
    void runBootstrap(MonotonicTime now);
    void runInvitations(MonotonicTime now);
    void removeSurplusVoter(MonotonicTime now);
    void handleJoin(const RaftMessage& message, const JoinRequest& request, MonotonicTime now);
    void handleInvited(const RaftMessage& message, const StatusAnswer& answer, MonotonicTime now);
    void handleJoinAnswer(const JoinAnswer& answer);
    bool dispatch(const RaftMessage& message, MonotonicTime now);
    bool refuse(ResultCode code, std::string text);
    bool stop(Reason reason);

    MemberSettings m_settings;
    MemberCallbacks m_callbacks;
    std::unique_ptr<LogStorage> m_storage;
    RaftState m_raft;
    BootstrapState m_bootstrap;
    std::vector<std::string> m_proposals; // not yet written
    std::map<MemberId, std::string> m_addresses; // as the members themselves said
    std::map<VmId, Invitation> m_invitations;
    std::map<LogIndex, std::shared_ptr<const SnapshotReader>> m_sending; // snapshots under way to members
    LogIndex m_delivered; // last entry handed to the application
    std::uint64_t m_deliveredBytes = 0; // of the entries delivered since the last snapshot
    bool m_busy = false; // effects are being carried out
    bool m_failed = false;
    Reason m_reason;
};

} // namespace flamingo
