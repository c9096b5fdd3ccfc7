#include "routing/fingerprintmemory.h"

#include <algorithm>

namespace flamingo {

namespace {

using Set = std::array<std::uint64_t, FingerprintMemory::ways>;

// Zero marks a free place, so a fingerprint of zero is kept as one.
std::uint64_t stored(Fingerprint fingerprint) { return std::max<std::uint64_t>(fingerprint.value(), 1); }

Set& setOf(FingerprintMemory& memory, Fingerprint fingerprint)
{
    return memory.m_good[stored(fingerprint) % memory.m_good.size()];
}

bool moveToFront(Set& set, std::uint64_t value)
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
    memory.m_good.resize(std::max<std::size_t>(capacity / FingerprintMemory::ways, 1));
    return memory;
}

bool isKnownGood(FingerprintMemory& memory, Fingerprint fingerprint)
{
    return moveToFront(setOf(memory, fingerprint), stored(fingerprint));
}

bool noteSuccess(FingerprintMemory& memory, Fingerprint fingerprint)
{
    Set& set = setOf(memory, fingerprint);
    if (!moveToFront(set, stored(fingerprint))) {
        set.back() = stored(fingerprint);
        moveToFront(set, stored(fingerprint));
    }
    return memory.m_suspects.erase(fingerprint) > 0;
}

void noteDeath(FingerprintMemory& memory, Fingerprint fingerprint, const EndpointId& endpoint, MonotonicTime now)
{
    if (memory.m_suspects.size() >= FingerprintMemory::mostSuspects && memory.m_suspects.count(fingerprint) == 0) {
        const auto oldest = std::min_element(memory.m_suspects.begin(), memory.m_suspects.end(),
            [](const auto& a, const auto& b) { return a.second.m_lastDeath < b.second.m_lastDeath; });
        memory.m_suspects.erase(oldest);
    }
    Suspect& suspect = memory.m_suspects[fingerprint];
    if (std::find(suspect.m_crashed.begin(), suspect.m_crashed.end(), endpoint) == suspect.m_crashed.end())
        suspect.m_crashed.push_back(endpoint);
    ++suspect.m_reportsPending;
    suspect.m_lastDeath = now;
}

void noteReportApplied(FingerprintMemory& memory, Fingerprint fingerprint)
{
    const auto suspect = memory.m_suspects.find(fingerprint);
    if (suspect != memory.m_suspects.end() && suspect->second.m_reportsPending > 0)
        --suspect->second.m_reportsPending;
}

CanaryCaution canaryCaution(const FingerprintMemory& memory, Fingerprint fingerprint, MonotonicTime now)
{
    const auto position = memory.m_suspects.find(fingerprint);
    if (position == memory.m_suspects.end())
        return CanaryCaution::None;
    const Suspect& suspect = position->second;
    const bool pending = suspect.m_reportsPending > 0 && now - suspect.m_lastDeath < FingerprintMemory::reportPatience;
    if (pending && suspect.m_crashed.size() >= 2)
        return CanaryCaution::Refuse;
    return CanaryCaution::OneAtATime;
}

} // namespace flamingo
