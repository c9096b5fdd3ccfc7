#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "routing/slowstart.h"

#include <cstdint>

namespace flamingo {

/** Parameters of routing; the defaults suit calls of a few milliseconds. */
struct RoutingSettings {
    DataCentreName m_dataCentre; // of this daemon
    VmId m_vm; // of this daemon

    // Weight of the newest sample in the moving average of an endpoint's latency.
    double m_latencyWeight = 0.1;
    // Weight of the newest call in the moving average of the calls that an endpoint refused or failed.
    double m_failureRateWeight = 0.2;
    // Half-life of an endpoint's statistics without new calls; 0 for no decay.
    Milliseconds m_statsHalfLife { 0 };
    // Latencies that differ by at most this fraction count as equal, so that the reported load decides.
    double m_latencyTolerance = 0.1;
    // Calls in flight beyond the endpoint's slots. With one, the next request is transmitted while the last one
    // runs: with none, a shard whose other replica is unresponsive had a p99 of 69 ms instead of 45 ms at a
    // load of 0.4 (policybench); with four, requests queue at the endpoints and the p99 rises again.
    std::uint32_t m_callsBeyondSlots = 1;

    // Limit on the calls in flight from all VMs together to an endpoint, for each of its slots; 0 for none. Further
    // calls wait at the VMs, which can still send them to other endpoints, instead of in the endpoint's queue.
    double m_callsPerSlot = 0.0;

    // An endpoint in another data centre is used when the latency of the local one exceeds its latency both by
    // this factor and by this margin.
    double m_spillFactor = 2.0;
    Microseconds m_spillMargin { 5000 };

    // Consecutive failures that eject an endpoint. A refused or lost connection ejects at once. A lost
    // race is a call that was cancelled because a later attempt answered first.
    std::uint32_t m_failuresToEject = 3;
    std::uint32_t m_lostRacesToEject = 4;
    Milliseconds m_initialEjection { 500 };
    Milliseconds m_maxEjection { 30000 };
    // Consecutive answers after a readmission that reset the ejection time, which doubles with each ejection.
    std::uint32_t m_answersToResetEjection = 20;

    SlowStartSettings m_slowStart; // of new and readmitted endpoints

    // Retry delay after a Shed answer that gives none.
    Milliseconds m_defaultRetryAfter { 20 };

    double m_hedgeQuantile = 0.95;
    Microseconds m_minHedgeDelay { 1000 };
    // Used until the distribution has enough samples.
    Microseconds m_initialHedgeDelay { 50000 };
    std::uint64_t m_samplesForHedgeDelay = 100;
    Milliseconds m_latencyWindow { 10000 };

    // Capacity and initial number of tokens of a service's extra-load budget.
    double m_budgetBurst = 10.0;
    // Calls that endpoints refused without running them are sent again without a token, up to this fraction of
    // the first attempts. They cost the endpoints no work, and a refusing endpoint gets no calls until its retry
    // time; beyond the fraction the service is overloaded, and more calls would make it worse.
    double m_refusalReplacementFraction = 0.2;
};

} // namespace flamingo
