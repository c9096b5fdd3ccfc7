#pragma once

#include "base/time.h"
#include "consensus/initialmember.h"
#include "consensus/raftmessage.h"
#include "consensus/raftstate.h"

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace flamingo {

/**
 * State of a member that forms a new cluster or joins an existing one.
 *
 * A fresh member, which has no log, snapshot or term, asks all initial members for their status. If any of them is not
 * fresh, a cluster exists and the member asks to join it. Only the initial member with the smallest VM name may form a
 * cluster, and only after all initial members have answered that they are fresh. Because a single member may do so, an
 * outdated answer cannot lead to two clusters. The other members receive the configuration from the first leader.
 *
 * If the VM that forms the cluster loses its disk after the first election began and before the first entry was
 * replicated, the other members are no longer fresh and no cluster forms. No entry was accepted by then, so an operator
 * can empty the data folders of these members.
 */
struct BootstrapState {
    /** The latest status received from an initial member. */
    struct Answer {
        MemberId m_member;
        StatusAnswer m_status;
        MonotonicTime m_receivedAt;
    };

    VmId m_vm;
    std::string m_address;
    std::vector<InitialMember> m_initialMembers;
    bool m_bootstrapAllowed = false;
    std::map<std::string, Answer> m_answers; // by address
    MonotonicTime m_nextAttempt;
    std::string m_joinRefusal; // why the cluster refused this member, human-readable; empty if it did not
    std::string m_leaderAddress; // of the leader that an answer to a join request named last
};

/** Actions that the caller of stepBootstrap() has to carry out. */
struct BootstrapEffects {
    std::vector<std::pair<std::string, RaftBody>> m_messages; // by address
    std::optional<Configuration> m_initialConfiguration; // set when this member has to form the cluster
};

/** Returns a digest of the initial members that does not depend on their order. Thread-safe. */
std::uint64_t initialListDigest(const std::vector<InitialMember>& members);

/** Returns this member's answer to a status query. */
StatusAnswer statusOf(const BootstrapState& bootstrap, const RaftState& raft, const std::string& leaderAddress);

/**
 * Advances bootstrap and returns the messages to send and, once the cluster can be formed, its initial configuration.
 *
 * A member that already belongs to a cluster only asks to join again if the cluster may not know it at its address.
 */
BootstrapEffects stepBootstrap(BootstrapState& bootstrap, const RaftState& raft, MonotonicTime now);

/** Records the status of an initial member; ignores answers from other VMs. */
void handleStatusAnswer(
    BootstrapState& bootstrap, const RaftMessage& message, const StatusAnswer& answer, MonotonicTime now);

} // namespace flamingo
