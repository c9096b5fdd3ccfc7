#include "routing/fingerprintmemory.h"

#include <algorithm>

namespace flamingo {

namespace {

using CacheSet = std::array<std::uint64_t, FingerprintMemory::ways>;

// Zero marks an unused entry, so a fingerprint of zero is stored as one.
std::uint64_t storedValue(Fingerprint fingerprint) { return std::max<std::uint64_t>(fingerprint.value(), 1); }

CacheSet& setOf(FingerprintMemory& memory, Fingerprint fingerprint)
{
    return memory.m_succeeded[storedValue(fingerprint) % memory.m_succeeded.size()];
}

bool moveToFront(CacheSet& set, std::uint64_t value)
{
    const auto position = std::find(set.begin(), set.end(), value);
    if (position == set.end())
        return false;
    std::rotate(set.begin(), position, position + 1);
    return true;
}

} // namespace

FingerprintMemory makeFingerprintMemory(std::size_t capacity)
{
    FingerprintMemory memory;
    memory.m_succeeded.resize(std::max<std::size_t>(capacity / FingerprintMemory::ways, 1));
    return memory;
}

bool isKnownGood(FingerprintMemory& memory, Fingerprint fingerprint)
{
    return moveToFront(setOf(memory, fingerprint), storedValue(fingerprint));
}

bool recordSuccess(FingerprintMemory& memory, Fingerprint fingerprint)
{
    CacheSet& set = setOf(memory, fingerprint);
    if (!moveToFront(set, storedValue(fingerprint))) {
        set.back() = storedValue(fingerprint);
        moveToFront(set, storedValue(fingerprint));
    }
    return memory.m_suspects.erase(fingerprint) > 0;
}

void recordCrash(FingerprintMemory& memory, Fingerprint fingerprint, const EndpointId& endpoint, MonotonicTime now)
{
    if (memory.m_suspects.size() >= FingerprintMemory::maxSuspects && memory.m_suspects.count(fingerprint) == 0) {
        const auto oldest = std::min_element(memory.m_suspects.begin(), memory.m_suspects.end(),
            [](const auto& a, const auto& b) { return a.second.m_lastCrash < b.second.m_lastCrash; });
        memory.m_suspects.erase(oldest);
    }
    Suspect& suspect = memory.m_suspects[fingerprint];
    if (std::find(suspect.m_crashed.begin(), suspect.m_crashed.end(), endpoint) == suspect.m_crashed.end())
        suspect.m_crashed.push_back(endpoint);
    ++suspect.m_reportsPending;
    suspect.m_lastCrash = now;
}

void recordReportApplied(FingerprintMemory& memory, Fingerprint fingerprint)
{
    const auto suspect = memory.m_suspects.find(fingerprint);
    if (suspect != memory.m_suspects.end() && suspect->second.m_reportsPending > 0)
        --suspect->second.m_reportsPending;
}

CanaryRestriction canaryRestriction(const FingerprintMemory& memory, Fingerprint fingerprint, MonotonicTime now)
{
    const auto position = memory.m_suspects.find(fingerprint);
    if (position == memory.m_suspects.end())
        return CanaryRestriction::None;
    const Suspect& suspect = position->second;
    const bool pending = suspect.m_reportsPending > 0 && now - suspect.m_lastCrash < FingerprintMemory::reportTimeout;
    if (pending && suspect.m_crashed.size() >= 2)
        return CanaryRestriction::Refuse;
    return CanaryRestriction::OneAtATime;
}

} // namespace flamingo
