#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>

namespace flamingo {

/** Settings of request forwarding. */
struct ForwardSettings {
    // Budget of extra calls to a service (hedges, retries, replacements of refused calls): in any time window this
    // share of its requests, plus a number of calls for the whole system that is divided among the entry VMs.
    double m_extraLoadShare = 0.15;
    double m_extraLoadCalls = 60.0;
    double m_retryReserve = 0.3; // share of the budget's capacity that hedges leave to retries

    // A hedge is due when a call has run longer than this quantile of the route's call latencies. The delay is limited
    // to a range whose upper end is a share of the route's goal: otherwise queueing, which raises all latencies, would
    // delay hedges more and more.
    double m_hedgeQuantile = 0.9;
    Microseconds m_minHedgeDelay { 4000 };
    double m_maxHedgeShare = 0.3; // share of the route's goal
    Microseconds m_maxHedgeDelay { 400000 }; // upper bound for routes without a goal

    // An answer is sent this long before the goal, which leaves time for merging and for transfer to the caller. The
    // second reserve is added on a new connection, since the caller has also waited for the connection to open.
    Milliseconds m_answerReserve { 10 };
    Milliseconds m_connectReserve { 6 };
    // An answer is sent this long before the caller stops waiting.
    Milliseconds m_deadlineReserve { 15 };

    // Fan-outs over at least this many shards are merged in two levels, in groups of about m_shardsPerGroup. Both
    // levels cost about the same when a group has as many shards as the square root of their total.
    std::size_t m_minShardsForTwoLevels = 48;
    std::size_t m_shardsPerGroup = 10;
    std::uint16_t m_mergePort = 0; // port of merging VMs, the same on all; 0 disables the second level
    // How long a merging VM keeps working after an incomplete answer, so that the entry VM can request the remaining
    // shards.
    Milliseconds m_resumeWindow { 200 };

    Milliseconds m_minRetryAfter { 100 }; // lower bound of the delay that a refusal suggests
    Milliseconds m_maxRoomRetryAfter { 10000 }; // upper bound while too many requests wait for endpoints
    // Delay suggested when there is no configuration yet: electing a control leader takes about this long.
    Milliseconds m_controlRetryAfter { 1000 };
    // Number of calls for one part of a request that may be refused or fail to be sent; one more gives the part up.
    unsigned m_maxRefusals = 3;
    // The same for calls to other VMs, most of which may be cut off from the endpoints. A refusal costs a round trip.
    unsigned m_maxVmRefusals = 8;
    // Delay suggested to another VM while this one cannot reach the endpoints.
    Milliseconds m_cutOffRetryAfter { 1000 };
};

} // namespace flamingo
