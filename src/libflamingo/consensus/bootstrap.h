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
 * How a member without a cluster forms one or joins one.
 *
 * A fresh member asks all listed members for their status. If any of them is not fresh, a cluster exists and the
 * member asks to join it. Only the listed VM with the smallest name forms a cluster, when all listed members have
 * answered that they are fresh: with a single member that may form, an old answer cannot lead to two clusters. The
 * others learn the configuration from the first leader.
 *
 * If the forming VM loses its disk after the first election began and before the first entry was replicated, the
 * others are no longer fresh and no cluster forms; nothing was accepted by then, so their data folders can be
 * emptied by hand.
 */
struct BootstrapState {
    struct Answer {
        MemberId m_member;
        StatusAnswer m_status;
        MonotonicTime m_received;
    };

    VmId m_vm;
    std::string m_address;
    std::vector<InitialMember> m_initial;
    bool m_allowed = false;
    std::map<std::string, Answer> m_answers; // by address
    MonotonicTime m_nextAttempt;
    std::string m_lastRefusal; // why the cluster did not accept this member, for people
};

struct BootstrapEffects {
    std::vector<std::pair<std::string, RaftBody>> m_messages; // by address
    std::optional<Configuration> m_form;
};

/** Returns the digest of the list of initial members; it does not depend on their order. Thread-safe. */
std::uint64_t initialListDigest(const std::vector<InitialMember>& members);

/** Returns this member's answer to a status query. */
StatusAnswer statusOf(const BootstrapState& bootstrap, const RaftState& raft, const std::string& leaderAddress);

/** Returns what to send and whether to form the cluster now. Does nothing for a member that has a cluster. */
BootstrapEffects stepBootstrap(BootstrapState& bootstrap, const RaftState& raft, MonotonicTime now);

/** Records the answer of a listed member. */
void handleStatusAnswer(
    BootstrapState& bootstrap, const RaftMessage& message, const StatusAnswer& answer, MonotonicTime now);

} // namespace flamingo
