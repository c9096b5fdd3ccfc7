#pragma once

#include "base/time.h"

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
    Milliseconds m_answerReserve { 8 };
    Milliseconds m_connectReserve { 6 };
    // An answer leaves this long before the caller stops waiting.
    Milliseconds m_deadlineReserve { 15 };

    Milliseconds m_shortestRetryAfter { 100 }; // in a refusal
    // In a refusal for want of a configuration: a control leader is elected within about this time.
    Milliseconds m_controlRetryAfter { 1000 };
    // Refusals by endpoints that one shard of a request may meet before it is given up.
    unsigned m_refusalsBorne = 3;
};

} // namespace flamingo
