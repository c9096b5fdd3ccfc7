#include "routing/endpointchoice.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace flamingo {

namespace {

// Replicas considered for one call in each group; a shard usually has far fewer.
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

std::uint32_t callLimit(RoutingState& routing, EndpointIndex index)
{
    const EndpointRoute& route = routeOf(routing, index);
    // In 64 bits, since an endpoint may claim any number of slots.
    std::uint64_t limit = std::uint64_t { route.m_slots } + routing.m_settings.m_callsBeyondSlots;
    if (routing.m_settings.m_callsPerSlot > 0.0) {
        const double allVmCalls = routing.m_settings.m_callsPerSlot * route.m_slots;
        const auto vmCalls
            = static_cast<std::uint64_t>(std::ceil(allVmCalls / sharingVms(routing.m_table, route.m_service)));
        limit = std::min(limit, std::max<std::uint64_t>(1, vmCalls));
    }
    return static_cast<std::uint32_t>(std::min<std::uint64_t>(limit, endpointShare(routing.m_table, index)));
}

bool isAtCallLimit(RoutingState& routing, EndpointIndex index)
{
    return statsAt(routing, index).m_inFlight >= callLimit(routing, index);
}

bool contains(const std::vector<EndpointIndex>& list, EndpointIndex index)
{
    return std::find(list.begin(), list.end(), index) != list.end();
}

double relativeLoad(const RoutingState& routing, EndpointIndex index)
{
    return double(statsAt(routing, index).m_inFlight) / double(routeOf(routing, index).m_slots);
}

// Returns whether endpoint a is a better choice than endpoint b.
bool isBetter(const RoutingState& routing, EndpointIndex a, EndpointIndex b)
{
    const double loadA = relativeLoad(routing, a);
    const double loadB = relativeLoad(routing, b);
    if (loadA != loadB)
        return loadA < loadB;
    const EndpointStats& statsA = statsAt(routing, a);
    const EndpointStats& statsB = statsAt(routing, b);
    const double tolerance = routing.m_settings.m_latencyTolerance * std::max(statsA.m_latency, statsB.m_latency);
    if (std::abs(statsA.m_latency - statsB.m_latency) > tolerance)
        return statsA.m_latency < statsB.m_latency;
    return statsA.m_reportedLoad < statsB.m_reportedLoad;
}

// Keeps each endpoint that is ramping up with the probability of its ramp share; at least one candidate stays.
void thinOutRampingEndpoints(
    const RoutingState& routing, Candidates& candidates, RandomEngine& random, MonotonicTime now)
{
    std::size_t position = 0;
    while (candidates.m_count > 1 && position < candidates.m_count) {
        const double share = loadShare(statsAt(routing, candidates.m_items[position]), routing.m_settings, now);
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

// Returns whether the local endpoint is so much slower that a call to another data centre pays off.
bool isMuchSlower(const RoutingState& routing, EndpointIndex local, EndpointIndex remote)
{
    const double localLatency = statsAt(routing, local).m_latency;
    const double remoteLatency = statsAt(routing, remote).m_latency;
    if (localLatency <= 0.0 || remoteLatency <= 0.0)
        return false;
    const RoutingSettings& settings = routing.m_settings;
    return localLatency > remoteLatency * settings.m_spillFactor
        && localLatency > remoteLatency + double(settings.m_spillMargin.count());
}

struct ReplicaGroups {
    Candidates m_local; // with a free slot
    Candidates m_remote; // with a free slot, in other data centres
    Candidates m_queueing; // no free slot, but below the call limit
    std::optional<EndpointIndex> m_probe; // ejected endpoint that may be probed now
    std::optional<EndpointIndex> m_lastResort; // ejected endpoint whose ejection ends first
    bool m_anyInService = false; // a replica that is neither draining nor ejected
};

void updateRetryAt(EndpointChoice& choice, MonotonicTime at)
{
    if (!choice.m_retryAt || at < *choice.m_retryAt)
        choice.m_retryAt = at;
}

bool mayProbe(const RoutingState& routing, const ChoiceRequest& request, const EndpointStats& stats, MonotonicTime now)
{
    if (request.m_probes == ProbeUse::OnlyIfHarmless)
        return stats.m_refusesConnections || now >= stats.m_ejectedUntil + routing.m_settings.m_maxEjection;
    return request.m_probes == ProbeUse::Allowed;
}

void groupEjected(RoutingState& routing, const ChoiceRequest& request, EndpointIndex index, ReplicaGroups& groups,
    EndpointChoice& choice, MonotonicTime now)
{
    const EndpointStats& stats = statsAt(routing, index);
    if (isAtCallLimit(routing, index)) {
        choice.m_busy = true;
        return;
    }
    if (now < stats.m_ejectedUntil)
        updateRetryAt(choice, stats.m_ejectedUntil);
    else if (!stats.m_probing && mayProbe(routing, request, stats, now))
        groups.m_probe = index;
    if (!groups.m_lastResort || stats.m_ejectedUntil < statsAt(routing, *groups.m_lastResort).m_ejectedUntil)
        groups.m_lastResort = index;
}

ReplicaGroups groupReplicas(
    RoutingState& routing, const ChoiceRequest& request, EndpointChoice& choice, MonotonicTime now)
{
    ReplicaGroups groups;
    for (const EndpointIndex index : request.m_replicas) {
        const EndpointRoute& route = routeOf(routing, index);
        const EndpointStats& stats = statsAt(routing, index);
        // Without a share of the connections this daemon cannot reach the endpoint.
        if (!route.m_present || route.m_draining || endpointShare(routing.m_table, index) == 0)
            continue;
        const bool excluded = contains(request.m_excluded, index);
        // For a retry only untried replicas count as in service; a hedge also counts the tried ones, which may answer.
        if (!stats.m_ejected && (!excluded || request.m_probes == ProbeUse::Never))
            groups.m_anyInService = true;
        if (excluded)
            continue;
        if (now < stats.m_refusedUntil) {
            updateRetryAt(choice, stats.m_refusedUntil);
            continue;
        }
        if (!isWithinRateLimit(routing, index, now)) {
            passOverRateLimited(routing, index, choice, now);
            updateRetryAt(choice, *choice.m_rateLimitedUntil);
            continue;
        }
        if (stats.m_ejected) {
            groupEjected(routing, request, index, groups, choice, now);
            continue;
        }
        if (isAtCallLimit(routing, index)) {
            choice.m_busy = true;
            continue;
        }
        if (stats.m_inFlight >= route.m_slots) {
            groups.m_queueing.add(index);
            continue;
        }
        (route.m_dataCentre == routing.m_settings.m_dataCentre ? groups.m_local : groups.m_remote).add(index);
    }
    return groups;
}

} // namespace

bool isWithinRateLimit(const RoutingState& routing, EndpointIndex endpoint, MonotonicTime now)
{
    const EndpointRateLimit& rateLimit = statsAt(routing, endpoint).m_rateLimit;
    return !rateLimit.m_limit || permitsCall(rateLimit, callingVms(routing.m_table, endpoint), now);
}

void passOverRateLimited(RoutingState& routing, EndpointIndex endpoint, EndpointChoice& choice, MonotonicTime now)
{
    ++routing.m_rateLimitReport.m_passedOver;
    const MonotonicTime at
        = nextCallAt(statsAt(routing, endpoint).m_rateLimit, callingVms(routing.m_table, endpoint), now);
    choice.m_rateLimitedUntil = std::min(at, choice.m_rateLimitedUntil.value_or(at));
}

bool canTakeCall(RoutingState& routing, EndpointIndex endpoint, MonotonicTime now)
{
    const EndpointRoute& route = routeOf(routing, endpoint);
    const EndpointStats& stats = statsAt(routing, endpoint);
    const bool ejected = stats.m_ejected && (now < stats.m_ejectedUntil || stats.m_probing);
    return route.m_present && !route.m_draining && !ejected && now >= stats.m_refusedUntil
        && isWithinRateLimit(routing, endpoint, now) && !isAtCallLimit(routing, endpoint);
}

bool canTryConnection(RoutingState& routing, EndpointIndex endpoint, MonotonicTime now)
{
    const EndpointRoute& route = routeOf(routing, endpoint);
    const EndpointStats& stats = statsAt(routing, endpoint);
    return route.m_present && !route.m_draining && now >= stats.m_refusedUntil
        && isWithinRateLimit(routing, endpoint, now) && stats.m_inFlight < endpointShare(routing.m_table, endpoint);
}

EndpointChoice chooseEndpoint(
    RoutingState& routing, const ChoiceRequest& request, RandomEngine& random, MonotonicTime now)
{
    EndpointChoice choice;
    ReplicaGroups groups = groupReplicas(routing, request, choice, now);
    // A probe has priority, since it alone readmits an ejected endpoint; a hedge limits the cost of its failure.
    if (groups.m_probe && groups.m_anyInService) {
        choice.m_endpoint = groups.m_probe;
        return choice;
    }
    thinOutRampingEndpoints(routing, groups.m_local, random, now);
    thinOutRampingEndpoints(routing, groups.m_remote, random, now);
    const auto local = betterOfTwo(routing, groups.m_local, random);
    const auto remote = betterOfTwo(routing, groups.m_remote, random);
    if (local && remote)
        choice.m_endpoint = isMuchSlower(routing, *local, *remote) ? remote : local;
    else
        choice.m_endpoint = local ? local : remote;
    if (!choice.m_endpoint)
        choice.m_endpoint = betterOfTwo(routing, groups.m_queueing, random);
    if (choice.m_endpoint)
        return choice;
    // Ejection must not make the last replica of a shard unavailable.
    if (groups.m_lastResort && !groups.m_anyInService)
        choice.m_endpoint = groups.m_lastResort;
    return choice;
}

} // namespace flamingo
