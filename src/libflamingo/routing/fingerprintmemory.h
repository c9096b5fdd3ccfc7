#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace flamingo {

/** Crashes that this daemon attributes to one request fingerprint. */
struct Suspect {
    std::vector<EndpointId> m_crashed; // distinct
    std::uint32_t m_reportsPending = 0; // reported crashes whose effect on the quarantine is not known yet
    MonotonicTime m_lastCrash {};
};

/**
 * Bounded cache of request fingerprints that succeeded, and of those suspected of crashing endpoints.
 *
 * Fingerprints that succeeded are kept in a four-way set-associative cache, the most recently used first
 * in each set, so that a lookup needs no allocation and no linked list. Not thread-safe: each instance
 * belongs to one event loop.
 */
struct FingerprintMemory {
    static constexpr std::size_t ways = 4;
    static constexpr std::size_t maxSuspects = 1024;
    // A report that is not applied within this time is considered lost.
    static constexpr std::chrono::seconds reportTimeout { 10 };

    std::vector<std::array<std::uint64_t, ways>> m_succeeded;
    std::map<Fingerprint, Suspect> m_suspects;
};

/** Returns a memory for about as many successful fingerprints as the capacity. */
FingerprintMemory makeFingerprintMemory(std::size_t capacity = 65536);

/** Returns whether the fingerprint is cached as successful, and marks it as recently used. */
bool isKnownGood(FingerprintMemory& memory, Fingerprint fingerprint);

/** Records a success, which clears a suspect. Returns whether the fingerprint was a suspect. */
bool recordSuccess(FingerprintMemory& memory, Fingerprint fingerprint);

/** Records a crash whose report to the control VMs is pending. */
void recordCrash(FingerprintMemory& memory, Fingerprint fingerprint, const EndpointId& endpoint, MonotonicTime now);

/** Records that the control VMs have applied one of the pending reports. */
void recordReportApplied(FingerprintMemory& memory, Fingerprint fingerprint);

/** Limits on the attempts of a request whose quarantine is not decided. */
enum class CanaryRestriction {
    None, // not a suspect: the first attempt and one more may run
    OneAtATime, // suspected of a crash: each further attempt waits for the decision
    Refuse, // suspected of two crashes, and the decision is pending
};

/** Returns the limit on the attempts of a request with the fingerprint. */
CanaryRestriction canaryRestriction(const FingerprintMemory& memory, Fingerprint fingerprint, MonotonicTime now);

} // namespace flamingo
