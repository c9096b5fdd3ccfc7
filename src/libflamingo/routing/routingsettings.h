#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>

namespace flamingo {

/** Constants of routing; the defaults suit calls of a few milliseconds. */
struct RoutingSettings {
    DataCentreName m_dataCentre; // of this daemon
    VmId m_vm; // of this daemon

    // Weight of the newest sample in the moving average of an endpoint's latency.
    double m_latencyWeight = 0.1;
    // Weight of the newest call in the share of an endpoint's calls that were refused or failed.
    double m_badShareWeight = 0.2;
    // What was seen of an endpoint counts half after this time without calls; 0 for no fading.
    Milliseconds m_memoryHalfLife { 0 };
    // Latencies closer than this fraction count as equal, so that the endpoint's report decides.
    double m_latencyTie = 0.1;
    // Calls in flight beyond the endpoint's slots. One lets the next request travel while the last one
    // runs: without it a shard whose other replica is silent had a p99 of 69 ms instead of 45 ms at a
    // load of 0.4 (policybench); with four, waiting moves to the endpoints and the p99 rises again.
    std::uint32_t m_callsBeyondSlots = 1;

    // Calls in flight that an endpoint gets from all VMs together, for each of its slots; 0 for no such bound. What is
    // beyond waits at the VMs, which can still send it elsewhere, and not in the endpoint's queue.
    double m_callsPerSlot = 0.0;

    // An endpoint in another data centre is used when the local ones take this factor longer and
    // also this much longer.
    double m_spillFactor = 2.0;
    Microseconds m_spillMargin { 5000 };

    // Failures in a row that eject an endpoint. A refused or lost connection ejects at once. A lost
    // race is a call that was cancelled because a later attempt answered first.
    std::uint32_t m_failuresToEject = 3;
    std::uint32_t m_lostRacesToEject = 4;
    Milliseconds m_firstEjection { 500 };
    Milliseconds m_longestEjection { 30000 };
    // Answers in a row after a readmission that reset the doubled ejection time.
    std::uint32_t m_answersToForgive = 20;

    // Time over which a new or readmitted endpoint gets its full share, and the share it starts with.
    Milliseconds m_ramp { 5000 };
    double m_rampStart = 0.1;

    // Waiting time after a shed answer that names none, and the longest one that is obeyed.
    Milliseconds m_defaultRefusal { 20 };
    Milliseconds m_longestRefusal { 5000 };

    double m_hedgeQuantile = 0.95;
    Microseconds m_shortestHedgeDelay { 1000 };
    // Used until the distribution has enough samples.
    Microseconds m_initialHedgeDelay { 50000 };
    std::uint64_t m_samplesForHedgeDelay = 100;
    Milliseconds m_latencyWindow { 10000 };

    // Tokens a service's extra-load budget holds at most, and at the start.
    double m_budgetBurst = 10.0;
    // Calls that endpoints refused as not run are sent again without a token, up to this fraction of the
    // first attempts. They cost the endpoints no work, and a refusing endpoint rests for the time it
    // names; beyond the fraction the service is overloaded and more calls would add to it.
    double m_refusalReplacements = 0.2;
};

} // namespace flamingo
