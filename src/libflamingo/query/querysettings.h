#pragma once

#include "base/time.h"

#include <cstdint>

namespace flamingo {

/** Limits and timing of query executions. */
struct QuerySettings {
    Milliseconds m_minDeadline { 1 };
    Milliseconds m_maxDeadline { 60000 };
    // Time reserved for the reply to travel back and for the merge: a fraction of the deadline, up to
    // m_maxReplyMargin. The deadline of a call to an endpoint is earlier by this margin.
    double m_replyMarginFraction = 0.05;
    Milliseconds m_maxReplyMargin { 2 };
    std::uint32_t m_maxAttemptsPerShard = 5; // including hedges
    std::uint32_t m_maxCallsInFlightPerShard = 2;
    // A shard is given up after it has lost this many connections, since the request may be what crashes the
    // endpoints and a further call could crash another one.
    std::uint32_t m_maxLostConnectionsPerShard = 2;
    // Base of the backoff after all replicas of a shard have failed. The wait doubles with each attempt, up to
    // m_maxRetryBackoff.
    Milliseconds m_retryBackoff { 5 };
    Milliseconds m_maxRetryBackoff { 200 };
    // Fraction of the hedge delay after which a call that lacked a token, or a hedge that could not be sent, is
    // tried again.
    double m_hedgeRecheckFraction = 0.25;
    // Multiple of the hedge delay after which a call to a shard's only replica is hedged on another connection to
    // the same endpoint.
    double m_soleReplicaDelayFactor = 3.0;
    // Waiting executions are woken when an endpoint has a free slot. Polling detects every other change that
    // lets a shard continue, such as a renewed lease.
    Milliseconds m_waitPollInterval { 20 };
    std::uint32_t m_maxRestarts = 2; // on another snapshot
    // Longest time from a crash until a quarantine is in force. An endpoint that has been ejected for longer was
    // not crashed by the current request, so the canary stage may skip it.
    Milliseconds m_maxQuarantineDelay { 3000 };
    // After a crash, the second canary attempt waits this long for the quarantine decision, since only the control
    // VMs may know of an earlier crash. It is then sent without the decision, so that a request that did
    // not cause the crash succeeds even if the control VMs are unreachable.
    Milliseconds m_decisionTimeout { 200 };
};

} // namespace flamingo
