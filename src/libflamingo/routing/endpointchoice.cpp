#include "routing/endpointchoice.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace flamingo {

namespace {

// A shard has few replicas; more than this many are not looked at for one call.
constexpr std::size_t maxCandidates = 32;

struct Candidates {
    std::array<EndpointIndex, maxCandidates> m_items;
    std::size_t m_count = 0;

    void add(EndpointIndex index)
    {
        if (m_count < maxCandidates)
            m_items[m_count++] = index;
    }
};

const EndpointRoute& routeOf(const RoutingState& routing, EndpointIndex index)
{
    return routing.m_table.m_endpoints[index.value()];
}

const EndpointStats& statsAt(const RoutingState& routing, EndpointIndex index)
{
    return routing.m_endpoints[index.value()];
}

std::uint32_t callBound(RoutingState& routing, EndpointIndex index)
{
    const EndpointRoute& route = routeOf(routing, index);
    std::uint32_t bound = route.m_slots + routing.m_settings.m_callsBeyondSlots;
    if (routing.m_settings.m_callsPerSlot > 0.0) {
        const double all = routing.m_settings.m_callsPerSlot * route.m_slots;
        const auto part = static_cast<std::uint32_t>(std::ceil(all / sharingVms(routing.m_table, route.m_service)));
        bound = std::min(bound, std::max(1U, part));
    }
    return std::min(bound, endpointShare(routing.m_table, index));
}

bool isFull(RoutingState& routing, EndpointIndex index)
{
    return statsAt(routing, index).m_inFlight >= callBound(routing, index);
}

bool contains(const std::vector<EndpointIndex>& list, EndpointIndex index)
{
    return std::find(list.begin(), list.end(), index) != list.end();
}

double relativeLoad(const RoutingState& routing, EndpointIndex index)
{
    return double(statsAt(routing, index).m_inFlight) / double(routeOf(routing, index).m_slots);
}

// Returns whether the first endpoint is the better choice.
bool isBetter(const RoutingState& routing, EndpointIndex a, EndpointIndex b)
{
    const double loadA = relativeLoad(routing, a);
    const double loadB = relativeLoad(routing, b);
    if (loadA != loadB)
        return loadA < loadB;
    const EndpointStats& statsA = statsAt(routing, a);
    const EndpointStats& statsB = statsAt(routing, b);
    const double tie = routing.m_settings.m_latencyTie * std::max(statsA.m_latency, statsB.m_latency);
    if (std::abs(statsA.m_latency - statsB.m_latency) > tie)
        return statsA.m_latency < statsB.m_latency;
    return statsA.m_reportedLoad < statsB.m_reportedLoad;
}

// Keeps a cold endpoint with the probability of its share, as long as another candidate remains.
void thinColdOnes(const RoutingState& routing, Candidates& candidates, RandomEngine& random, MonotonicTime now)
{
    std::size_t position = 0;
    while (candidates.m_count > 1 && position < candidates.m_count) {
        const double share = rampShare(statsAt(routing, candidates.m_items[position]), routing.m_settings, now);
        if (share < 1.0 && std::uniform_real_distribution<double>(0.0, 1.0)(random) >= share)
            candidates.m_items[position] = candidates.m_items[--candidates.m_count];
        else
            ++position;
    }
}

std::optional<EndpointIndex> betterOfTwo(const RoutingState& routing, Candidates& candidates, RandomEngine& random)
{
    if (candidates.m_count == 0)
        return std::nullopt;
    if (candidates.m_count == 1)
        return candidates.m_items[0];
    const std::size_t first = std::uniform_int_distribution<std::size_t>(0, candidates.m_count - 1)(random);
    std::size_t second = std::uniform_int_distribution<std::size_t>(0, candidates.m_count - 2)(random);
    if (second >= first)
        ++second;
    const EndpointIndex a = candidates.m_items[first];
    const EndpointIndex b = candidates.m_items[second];
    return isBetter(routing, b, a) ? b : a;
}

// Whether the local endpoint is so much slower that another data centre is worth the distance.
bool isClearlyWorse(const RoutingState& routing, EndpointIndex local, EndpointIndex remote)
{
    const double localLatency = statsAt(routing, local).m_latency;
    const double remoteLatency = statsAt(routing, remote).m_latency;
    if (localLatency <= 0.0 || remoteLatency <= 0.0)
        return false;
    const RoutingSettings& settings = routing.m_settings;
    return localLatency > remoteLatency * settings.m_spillFactor
        && localLatency > remoteLatency + double(settings.m_spillMargin.count());
}

struct Sorted {
    Candidates m_local; // with a free slot
    Candidates m_remote; // with a free slot, in other data centres
    Candidates m_queueing; // all slots taken, but below the bound
    std::optional<EndpointIndex> m_probe;
    std::optional<EndpointIndex> m_lastResort; // the ejected endpoint that may be tried soonest
    bool m_anyInService = false; // a replica that is neither draining nor ejected
};

void noteRetryAt(EndpointChoice& choice, MonotonicTime at)
{
    if (!choice.m_retryAt || at < *choice.m_retryAt)
        choice.m_retryAt = at;
}

bool mayProbe(const RoutingState& routing, const ChoiceRequest& request, const EndpointStats& stats, MonotonicTime now)
{
    if (request.m_probes == ProbeUse::Harmless)
        return stats.m_refusesConnections || now >= stats.m_ejectedUntil + routing.m_settings.m_longestEjection;
    return request.m_probes == ProbeUse::Allowed;
}

void sortEjected(RoutingState& routing, const ChoiceRequest& request, EndpointIndex index, Sorted& sorted,
    EndpointChoice& choice, MonotonicTime now)
{
    const EndpointStats& stats = statsAt(routing, index);
    if (isFull(routing, index)) {
        choice.m_busy = true;
        return;
    }
    if (now < stats.m_ejectedUntil)
        noteRetryAt(choice, stats.m_ejectedUntil);
    else if (!stats.m_probing && mayProbe(routing, request, stats, now))
        sorted.m_probe = index;
    if (!sorted.m_lastResort || stats.m_ejectedUntil < statsAt(routing, *sorted.m_lastResort).m_ejectedUntil)
        sorted.m_lastResort = index;
}

Sorted sortReplicas(RoutingState& routing, const ChoiceRequest& request, EndpointChoice& choice, MonotonicTime now)
{
    Sorted sorted;
    for (const EndpointIndex index : request.m_replicas) {
        const EndpointRoute& route = routeOf(routing, index);
        const EndpointStats& stats = statsAt(routing, index);
        // Without a share of its connections the endpoint is out of reach for this daemon.
        if (!route.m_present || route.m_draining || endpointShare(routing.m_table, index) == 0)
            continue;
        const bool excluded = contains(request.m_excluded, index);
        // A retry has no other replica in service than those not tried yet; a hedge still waits for one.
        if (!stats.m_ejected && (!excluded || request.m_probes == ProbeUse::Never))
            sorted.m_anyInService = true;
        if (excluded)
            continue;
        if (now < stats.m_refusedUntil) {
            noteRetryAt(choice, stats.m_refusedUntil);
            continue;
        }
        if (stats.m_ejected) {
            sortEjected(routing, request, index, sorted, choice, now);
            continue;
        }
        if (isFull(routing, index)) {
            choice.m_busy = true;
            continue;
        }
        if (stats.m_inFlight >= route.m_slots) {
            sorted.m_queueing.add(index);
            continue;
        }
        (route.m_dataCentre == routing.m_settings.m_dataCentre ? sorted.m_local : sorted.m_remote).add(index);
    }
    return sorted;
}

} // namespace

bool canTakeCall(RoutingState& routing, EndpointIndex endpoint, MonotonicTime now)
{
    const EndpointRoute& route = routeOf(routing, endpoint);
    const EndpointStats& stats = statsAt(routing, endpoint);
    const bool ejected = stats.m_ejected && (now < stats.m_ejectedUntil || stats.m_probing);
    return route.m_present && !route.m_draining && !ejected && now >= stats.m_refusedUntil
        && !isFull(routing, endpoint);
}

bool canTryConnection(RoutingState& routing, EndpointIndex endpoint, MonotonicTime now)
{
    const EndpointRoute& route = routeOf(routing, endpoint);
    const EndpointStats& stats = statsAt(routing, endpoint);
    return route.m_present && !route.m_draining && now >= stats.m_refusedUntil
        && stats.m_inFlight < endpointShare(routing.m_table, endpoint);
}

EndpointChoice chooseEndpoint(
    RoutingState& routing, const ChoiceRequest& request, RandomEngine& random, MonotonicTime now)
{
    EndpointChoice choice;
    Sorted sorted = sortReplicas(routing, request, choice, now);
    // A probe goes first, since an ejected endpoint returns only through one; a hedge covers it.
    if (sorted.m_probe && sorted.m_anyInService) {
        choice.m_endpoint = sorted.m_probe;
        return choice;
    }
    thinColdOnes(routing, sorted.m_local, random, now);
    thinColdOnes(routing, sorted.m_remote, random, now);
    const auto local = betterOfTwo(routing, sorted.m_local, random);
    const auto remote = betterOfTwo(routing, sorted.m_remote, random);
    if (local && remote)
        choice.m_endpoint = isClearlyWorse(routing, *local, *remote) ? remote : local;
    else
        choice.m_endpoint = local ? local : remote;
    if (!choice.m_endpoint)
        choice.m_endpoint = betterOfTwo(routing, sorted.m_queueing, random);
    if (choice.m_endpoint)
        return choice;
    // Ejection never takes the last replica of a shard.
    if (sorted.m_lastResort && !sorted.m_anyInService)
        choice.m_endpoint = sorted.m_lastResort;
    return choice;
}

} // namespace flamingo
