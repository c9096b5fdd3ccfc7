#pragma once

#include "base/time.h"

#include <cstdint>

namespace flamingo {

/** Constants of query executions. */
struct QuerySettings {
    Milliseconds m_shortestDeadline { 1 };
    Milliseconds m_longestDeadline { 60000 };
    // Time kept for the way back and the merge: this part of the deadline, up to the maximum.
    double m_replyMargin = 0.05;
    Milliseconds m_longestReplyMargin { 2 };
    std::uint32_t m_attemptsPerShard = 5;
    std::uint32_t m_callsInFlightPerShard = 2;
    // A shard that two endpoints lost the connection on is given up; more would crash further ones.
    std::uint32_t m_lostConnectionsPerShard = 2;
    // First wait after all replicas of a shard have failed; doubles with each attempt.
    Milliseconds m_retryBackoff { 5 };
    Milliseconds m_longestRetryBackoff { 200 };
    // Fraction of the hedge delay after which a hedge without a token or a free replica is tried again.
    double m_hedgeRecheck = 0.25;
    // Multiple of the hedge delay after which a shard's only replica is asked again on another connection.
    double m_soleReplicaDelay = 3.0;
    // Waiting executions are woken when an endpoint gets free; this poll covers other causes.
    Milliseconds m_waitPoll { 20 };
    std::uint32_t m_restarts = 2;
    // An endpoint ejected for longer than it takes a quarantine to be in force was not crashed by this
    // request a moment ago, so the canary may pass over it.
    Milliseconds m_quarantineInForce { 3000 };
    // After a crash the second attempt waits for the decision on the quarantine this long, since an
    // earlier crash may be known to the control VMs alone. Then it goes on, so that an unreachable
    // control VM does not fail requests that are innocent of an endpoint's death.
    Milliseconds m_decisionPatience { 200 };
};

} // namespace flamingo
