#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace flamingo {

/** A request that endpoints have survived. */
struct SurvivedRequest {
    std::uint64_t m_fingerprint = 0; // 0 for an unused entry
    std::uint32_t m_lastSuccess = 0; // in milliseconds of the monotonic clock, modulo 2^32
    std::uint16_t m_unspent = 0; // successes since the last quarantine that they refuted
    std::uint16_t m_refutations = 0;
};

/** Crashes that this daemon attributes to one request fingerprint. */
struct Suspect {
    std::vector<EndpointId> m_crashed; // distinct
    std::uint32_t m_reportsPending = 0; // reported crashes whose effect on the quarantine is not known yet
    MonotonicTime m_lastCrash {};
    MonotonicTime m_reportedUntil {}; // reports that are not applied by then are lost
    Fingerprint m_key; // under which the crashes are reported, see suspectKey()
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
    static constexpr std::size_t maxLifted = 1024;
    // A report that is not applied within this time is considered lost.
    static constexpr std::chrono::seconds reportTimeout { 10 };
    // The control VMs lift a refuted quarantine well within this time.
    static constexpr std::chrono::seconds refutationTime { 2 };
    // A request whose quarantine was refuted this often stays in it.
    static constexpr std::uint32_t maxRefutations = 16;

    std::vector<std::array<SurvivedRequest, ways>> m_succeeded;
    std::map<Fingerprint, Suspect> m_suspects;
    std::map<Fingerprint, MonotonicTime> m_refutedUntil; // requests that are served until their quarantine is lifted
    std::map<Fingerprint, MonotonicTime> m_lifted; // keys of quarantines that ended early, and when
};

/** Returns a memory for about as many successful fingerprints as the capacity. */
FingerprintMemory makeFingerprintMemory(std::size_t capacity = 32768);

/** Returns whether the fingerprint is cached as successful, and marks it as recently used. */
bool isKnownGood(FingerprintMemory& memory, Fingerprint fingerprint);

/** Records a success, which clears a suspect. Returns whether the fingerprint was a suspect. */
bool recordSuccess(FingerprintMemory& memory, Fingerprint fingerprint, MonotonicTime now);

/** Returns whether a success was recorded at the time or later. Precondition: the time is less than 24 days ago. */
bool hasSucceededSince(FingerprintMemory& memory, Fingerprint fingerprint, MonotonicTime time);

/**
 * Returns the key under which the crashes of a request are counted after that many of its quarantines were lifted.
 *
 * The control VMs ignore crashes under a key that was cleared. Under the next key they count from zero. Thread-safe.
 */
Fingerprint suspectKey(Fingerprint request, std::uint32_t lifted);

/** Returns the key under which crashes of the request are counted now. */
Fingerprint currentSuspectKey(const FingerprintMemory& memory, Fingerprint request);

/** Records that the quarantine with the key was lifted. Forgets the crashes counted under the key. */
void recordLifted(FingerprintMemory& memory, Fingerprint key, MonotonicTime now);

/**
 * Returns whether successes at this daemon refute a quarantine of the request.
 *
 * Each success counts once, and each refutation needs one more than the one before: a request that was harmless, and
 * crashes endpoints since their data changed, stays in its quarantine when its old successes are used up. For a while
 * after a refutation the result stays true, so that the request is served until the quarantine is lifted.
 */
bool refuteQuarantine(FingerprintMemory& memory, Fingerprint request, MonotonicTime now);

/** Records a crash whose report to the control VMs is pending, and lost after the timeout. */
void recordCrash(FingerprintMemory& memory, Fingerprint fingerprint, const EndpointId& endpoint, MonotonicTime now,
    Milliseconds timeout = FingerprintMemory::reportTimeout);

/** Records that the control VMs have applied one of the pending reports. */
void recordReportApplied(FingerprintMemory& memory, Fingerprint fingerprint);

/**
 * Returns the endpoints whose crashes must be reported again, under the new key of the suspect.
 *
 * The control VMs ignore crashes under a key that was cleared, perhaps before this daemon started. They have done so if
 * they have applied the reports of two crashes without a quarantine. Called for a report that was applied without one.
 */
std::vector<EndpointId> takeIgnoredCrashes(FingerprintMemory& memory, Fingerprint fingerprint, MonotonicTime now);

/** Limits on the attempts of a request whose quarantine is not decided. */
enum class CanaryRestriction {
    None, // not a suspect: the first attempt and one more may run
    OneAtATime, // suspected of a crash: each further attempt waits for the decision
    Refuse, // suspected of two crashes, and the decision is pending
};

/** Returns the limit on the attempts of a request with the fingerprint. */
CanaryRestriction canaryRestriction(const FingerprintMemory& memory, Fingerprint fingerprint, MonotonicTime now);

} // namespace flamingo
