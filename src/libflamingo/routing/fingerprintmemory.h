#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace flamingo {

/** A fingerprint that crashed endpoints as seen by this daemon. */
struct Suspect {
    std::vector<EndpointId> m_crashed; // distinct
    std::uint32_t m_reportsPending = 0; // deaths whose effect on the quarantine is not known yet
    MonotonicTime m_lastDeath {};
};

/**
 * What this daemon remembers of request fingerprints. Bounded; for one event loop.
 *
 * Fingerprints that succeeded are kept in sets of four, the most recently used first, so that a lookup
 * needs no allocation and no list.
 */
struct FingerprintMemory {
    static constexpr std::size_t ways = 4;
    static constexpr std::size_t mostSuspects = 1024;
    // A report without a decision after this time is taken for lost.
    static constexpr std::chrono::seconds reportPatience { 10 };

    std::vector<std::array<std::uint64_t, ways>> m_good;
    std::map<Fingerprint, Suspect> m_suspects;
};

/** Returns a memory for about that many fingerprints that succeeded. */
FingerprintMemory makeFingerprintMemory(std::size_t capacity = 65536);

/** Returns whether the fingerprint succeeded at this daemon lately, and marks it as used. */
bool isKnownGood(FingerprintMemory& memory, Fingerprint fingerprint);

/** Remembers a success. Returns whether the fingerprint was a suspect, which it is no more. */
bool noteSuccess(FingerprintMemory& memory, Fingerprint fingerprint);

/** Remembers a crash that is being reported. */
void noteDeath(FingerprintMemory& memory, Fingerprint fingerprint, const EndpointId& endpoint, MonotonicTime now);

/** Notes that the control VMs have applied one of the reports. */
void noteReportApplied(FingerprintMemory& memory, Fingerprint fingerprint);

/** How far a request may go before a quarantine decision is known. */
enum class CanaryCaution {
    None, // first attempt and one more
    OneAtATime, // it crashed an endpoint before: each further attempt waits for the decision
    Refuse, // it crashed two endpoints and the decision is not known yet
};

/** Returns how far a request with the fingerprint may go. */
CanaryCaution canaryCaution(const FingerprintMemory& memory, Fingerprint fingerprint, MonotonicTime now);

} // namespace flamingo
