#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>

namespace flamingo {

/** Constants of forwarding. */
struct ForwardSettings {
    // Extra calls (hedges, retries, replacements of refused calls) that a service may get: this share of the
    // requests for it, and beside it a number for the whole system in each window, divided among the entry VMs.
    double m_extraLoadShare = 0.15;
    double m_extraLoadCalls = 60.0;
    double m_retryReserve = 0.3; // share of the calls at hand that hedges leave to retries

    // A hedge is due when a call has run longer than this share of the route's calls do, but neither sooner nor,
    // as a share of the route's goal, later than these bounds: queueing must not teach it to wait.
    double m_hedgeQuantile = 0.9;
    Microseconds m_shortestHedgeDelay { 4000 };
    double m_longestHedgeShare = 0.3;
    Microseconds m_longestHedgeDelay { 400000 }; // for routes without a goal

    // An answer leaves this long before the goal, for its way to the caller and the time that merging takes; on a
    // new connection the caller has also waited for its opening.
    Milliseconds m_answerReserve { 10 };
    Milliseconds m_connectReserve { 6 };
    // An answer leaves this long before the caller stops waiting.
    Milliseconds m_deadlineReserve { 15 };

    // Fan-outs over at least this many shards are merged in two levels, in groups of about the number below: with
    // the square root of the shards both levels cost about the same.
    std::size_t m_mergeFromShards = 48;
    std::size_t m_groupShards = 10;
    std::uint16_t m_mergePort = 0; // of merging VMs, the same on all; 0 for a single level
    // A merging VM answers this long before the entry VM has to.
    Milliseconds m_mergeReserve { 6 };
    // After an answer that lacks shards a merging VM works on for this long, so that the entry VM can ask for the rest.
    Milliseconds m_restOffer { 200 };

    Milliseconds m_shortestRetryAfter { 100 }; // in a refusal
    // In a refusal for want of a configuration: a control leader is elected within about this time.
    Milliseconds m_controlRetryAfter { 1000 };
    // Calls that endpoints refuse, or that cannot be sent, before one shard of a request is given up.
    unsigned m_refusalsBorne = 3;
};

} // namespace flamingo
