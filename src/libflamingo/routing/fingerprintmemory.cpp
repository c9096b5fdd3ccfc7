#include "routing/fingerprintmemory.h"

#include "base/hash.h"

#include <algorithm>
#include <string_view>

namespace flamingo {

namespace {

using CacheSet = std::array<SurvivedRequest, FingerprintMemory::ways>;

// Zero marks an unused entry, so a fingerprint of zero is stored as one.
std::uint64_t storedValue(Fingerprint fingerprint) { return std::max<std::uint64_t>(fingerprint.value(), 1); }

std::uint32_t milliseconds(MonotonicTime time)
{
    return static_cast<std::uint32_t>(std::chrono::duration_cast<Milliseconds>(time.time_since_epoch()).count());
}

// Returns the entry of the request, moved to the front of its set, or null.
SurvivedRequest* findSurvived(FingerprintMemory& memory, Fingerprint fingerprint)
{
    CacheSet& set = memory.m_succeeded[storedValue(fingerprint) % memory.m_succeeded.size()];
    const auto position = std::find_if(set.begin(), set.end(),
        [&](const SurvivedRequest& request) { return request.m_fingerprint == storedValue(fingerprint); });
    if (position == set.end())
        return nullptr;
    std::rotate(set.begin(), position, position + 1);
    return &set.front();
}

// Replaces the least recently used entry of the set.
SurvivedRequest& addSurvived(FingerprintMemory& memory, Fingerprint fingerprint)
{
    CacheSet& set = memory.m_succeeded[storedValue(fingerprint) % memory.m_succeeded.size()];
    std::rotate(set.begin(), set.end() - 1, set.end());
    set.front() = {};
    set.front().m_fingerprint = storedValue(fingerprint);
    return set.front();
}

template <typename Value, typename Time> void eraseOldest(std::map<Fingerprint, Value>& entries, Time timeOf)
{
    entries.erase(std::min_element(
        entries.begin(), entries.end(), [&](const auto& a, const auto& b) { return timeOf(a) < timeOf(b); }));
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
    return findSurvived(memory, fingerprint) != nullptr;
}

bool recordSuccess(FingerprintMemory& memory, Fingerprint fingerprint, MonotonicTime now)
{
    SurvivedRequest* known = findSurvived(memory, fingerprint);
    SurvivedRequest& request = known ? *known : addSurvived(memory, fingerprint);
    request.m_lastSuccess = milliseconds(now);
    if (request.m_unspent <= FingerprintMemory::maxRefutations)
        ++request.m_unspent;
    return memory.m_suspects.erase(fingerprint) > 0;
}

bool hasSucceededSince(FingerprintMemory& memory, Fingerprint fingerprint, MonotonicTime time)
{
    const SurvivedRequest* known = findSurvived(memory, fingerprint);
    // The difference of two such times is right also when they have wrapped.
    return known && static_cast<std::int32_t>(known->m_lastSuccess - milliseconds(time)) >= 0;
}

Fingerprint suspectKey(Fingerprint request, std::uint32_t lifted)
{
    if (lifted == 0)
        return request;
    const std::uint64_t value = request.value();
    return Fingerprint(hashBytes({ reinterpret_cast<const char*>(&value), sizeof(value) }, lifted));
}

Fingerprint currentSuspectKey(const FingerprintMemory& memory, Fingerprint request)
{
    std::uint32_t lifted = 0;
    while (lifted < FingerprintMemory::maxRefutations && memory.m_lifted.count(suspectKey(request, lifted)) > 0)
        ++lifted;
    return suspectKey(request, lifted);
}

void recordLifted(FingerprintMemory& memory, Fingerprint key, MonotonicTime now)
{
    if (memory.m_lifted.size() >= FingerprintMemory::maxLifted && memory.m_lifted.count(key) == 0)
        eraseOldest(memory.m_lifted, [](const auto& entry) { return entry.second; });
    memory.m_lifted[key] = now;
    for (auto suspect = memory.m_suspects.begin(); suspect != memory.m_suspects.end();)
        suspect = suspect->second.m_key == key ? memory.m_suspects.erase(suspect) : std::next(suspect);
}

bool refuteQuarantine(FingerprintMemory& memory, Fingerprint request, MonotonicTime now)
{
    const auto refuted = memory.m_refutedUntil.find(request);
    if (refuted != memory.m_refutedUntil.end() && now < refuted->second)
        return true;
    SurvivedRequest* known = findSurvived(memory, request);
    if (!known || known->m_unspent <= known->m_refutations)
        return false;
    known->m_unspent = 0;
    ++known->m_refutations;
    if (refuted == memory.m_refutedUntil.end() && memory.m_refutedUntil.size() >= FingerprintMemory::maxLifted)
        eraseOldest(memory.m_refutedUntil, [](const auto& entry) { return entry.second; });
    memory.m_refutedUntil[request] = now + FingerprintMemory::refutationTime;
    return true;
}

void recordCrash(FingerprintMemory& memory, Fingerprint fingerprint, const EndpointId& endpoint, MonotonicTime now,
    Milliseconds timeout)
{
    if (memory.m_suspects.size() >= FingerprintMemory::maxSuspects && memory.m_suspects.count(fingerprint) == 0)
        eraseOldest(memory.m_suspects, [](const auto& entry) { return entry.second.m_lastCrash; });
    Suspect& suspect = memory.m_suspects[fingerprint];
    suspect.m_key = currentSuspectKey(memory, fingerprint);
    if (std::find(suspect.m_crashed.begin(), suspect.m_crashed.end(), endpoint) == suspect.m_crashed.end())
        suspect.m_crashed.push_back(endpoint);
    ++suspect.m_reportsPending;
    suspect.m_lastCrash = now;
    suspect.m_reportedUntil = now + timeout;
}

void recordReportApplied(FingerprintMemory& memory, Fingerprint fingerprint)
{
    const auto suspect = memory.m_suspects.find(fingerprint);
    if (suspect != memory.m_suspects.end() && suspect->second.m_reportsPending > 0)
        --suspect->second.m_reportsPending;
}

std::vector<EndpointId> takeIgnoredCrashes(FingerprintMemory& memory, Fingerprint fingerprint, MonotonicTime now)
{
    constexpr std::size_t quarantiningCrashes = 2;
    const auto found = memory.m_suspects.find(fingerprint);
    if (found == memory.m_suspects.end() || found->second.m_reportsPending > 0
        || found->second.m_crashed.size() < quarantiningCrashes
        || found->second.m_key == suspectKey(fingerprint, FingerprintMemory::maxRefutations))
        return {};
    Suspect suspect = found->second;
    recordLifted(memory, suspect.m_key, now);
    suspect.m_key = currentSuspectKey(memory, fingerprint);
    suspect.m_reportsPending = static_cast<std::uint32_t>(suspect.m_crashed.size());
    memory.m_suspects[fingerprint] = suspect;
    return suspect.m_crashed;
}

CanaryRestriction canaryRestriction(const FingerprintMemory& memory, Fingerprint fingerprint, MonotonicTime now)
{
    const auto position = memory.m_suspects.find(fingerprint);
    if (position == memory.m_suspects.end())
        return CanaryRestriction::None;
    const Suspect& suspect = position->second;
    const bool pending = suspect.m_reportsPending > 0 && now < suspect.m_reportedUntil;
    if (pending && suspect.m_crashed.size() >= 2)
        return CanaryRestriction::Refuse;
    return CanaryRestriction::OneAtATime;
}

} // namespace flamingo
