#include "forward/placement.h"

#include <algorithm>
#include <cmath>

namespace flamingo {

namespace {

// Assumed latency of a route's calls until the first ones have ended.
constexpr Microseconds initialLatency { 5000 };
// Least penalty for calls to another data centre, whose traffic is charged. Comes on top of their latency.
constexpr Microseconds minRemotePenalty { 1500 };
constexpr double remoteGoalShare = 0.2; // penalty of a fan-out's calls, as a share of the route's goal
// Penalty for a refused or failed call: the time until the retry, and the extra load.
constexpr double failedCallCost = 40000.0; // µs
// An endpoint is stalled if none of its calls has ended for this multiple of the typical latency and for minStall.
constexpr double stallLatencyFactor = 4.0;
constexpr double minStall = 15000.0; // µs
// Expected time until a stalled endpoint continues.
constexpr double stallCost = 60000.0; // µs
// Relative random variation of costs, so that VMs do not all choose the same one of nearly equal endpoints.
constexpr double jitter = 0.1;

double microseconds(MonotonicClock::duration time) { return std::chrono::duration<double, std::micro>(time).count(); }

// Returns the weight of an observation made at the given time, halved with every half-life.
double decayFactor(MonotonicTime since, MonotonicTime now, Milliseconds halfLife)
{
    return halfLife.count() > 0 ? std::exp2(-microseconds(now - since) / microseconds(halfLife)) : 1.0;
}

/** Returns whether calls to the endpoint are in flight and none has ended for clearly longer than usual. */
bool isStalled(const EndpointStats& stats, Microseconds typicalLatency, MonotonicTime now)
{
    const double waiting = microseconds(now - stats.m_lastProgressAt);
    return stats.m_inFlight > 0
        && waiting > std::max(minStall, stallLatencyFactor * static_cast<double>(typicalLatency.count()));
}

// Returns the expected latency of a call to the endpoint in microseconds, penalties included.
double expectedCost(
    const RoutingState& routing, EndpointIndex index, const PlacementRequest& request, MonotonicTime now)
{
    const auto typical = static_cast<double>(request.m_typicalLatency.count());
    const EndpointRoute& route = routing.m_table.m_endpoints[index.value()];
    const EndpointStats& stats = routing.m_endpoints[index.value()];
    const Milliseconds halfLife = routing.m_settings.m_statsHalfLife;
    double latency = typical;
    if (stats.m_latency > 0.0)
        latency += (stats.m_latency - typical) * decayFactor(stats.m_latencyAt, now, halfLife);
    latency *= 1.0 + double(stats.m_inFlight) / double(route.m_slots);
    double cost = latency + failedCallCost * stats.m_failureRate * decayFactor(stats.m_failureRateAt, now, halfLife);
    if (route.m_dataCentre != routing.m_settings.m_dataCentre)
        cost += static_cast<double>(request.m_remotePenalty.count());
    if (isStalled(stats, request.m_typicalLatency, now))
        cost += stallCost;
    return cost;
}

/** An endpoint that can take the call. */
struct Candidate {
    EndpointIndex m_endpoint;
    double m_cost = 0.0;
    double m_loadShare = 1.0; // below 1 for an endpoint that has just started or recovered
    bool m_stalled = false;
};

/**
 * Returns the candidate with the lowest cost. One that has just started or recovered takes part with the probability of
 * its share, relative to the others, so that its slow start holds whatever its cost, and the calls are not lost if all
 * have just started. It does not stand back for an endpoint that makes no progress.
 */
std::optional<EndpointIndex> cheapest(const std::vector<Candidate>& candidates, RandomEngine& random)
{
    double largestShare = 0.0;
    for (const Candidate& candidate : candidates) {
        if (!candidate.m_stalled)
            largestShare = std::max(largestShare, candidate.m_loadShare);
    }
    std::uniform_real_distribution<double> drawn(0.0, largestShare);
    const Candidate* best = nullptr;
    for (const Candidate& candidate : candidates) {
        if (candidate.m_loadShare < largestShare && drawn(random) >= candidate.m_loadShare)
            continue;
        if (!best || candidate.m_cost < best->m_cost)
            best = &candidate;
    }
    return best ? std::optional(best->m_endpoint) : std::nullopt;
}

void updateRetryAt(EndpointChoice& choice, MonotonicTime at)
{
    choice.m_retryAt = choice.m_retryAt ? std::min(*choice.m_retryAt, at) : at;
}

} // namespace

Microseconds remotePenalty(const Route& route)
{
    if (route.m_shards.empty())
        return minRemotePenalty;
    const std::chrono::duration<double, std::milli> share(double(route.m_goal.count()) * remoteGoalShare);
    return std::max(minRemotePenalty, std::chrono::duration_cast<Microseconds>(share));
}

Microseconds typicalLatency(const ForwardState& state, const Route& route)
{
    const auto known = state.m_latencies.find(route.m_key);
    if (known == state.m_latencies.end())
        return initialLatency;
    constexpr double median = 0.5;
    return latencyQuantile(known->second, median).value_or(initialLatency);
}

EndpointChoice placeCall(
    RoutingState& routing, const PlacementRequest& request, RandomEngine& random, MonotonicTime now)
{
    std::uniform_real_distribution<double> noise(1.0 - jitter, 1.0 + jitter);
    EndpointChoice choice;
    std::optional<EndpointIndex> lastResort;
    std::vector<Candidate> candidates;
    candidates.reserve(request.m_replicas.size());
    for (const EndpointIndex index : request.m_replicas) {
        const EndpointRoute& route = routing.m_table.m_endpoints[index.value()];
        const EndpointStats& stats = routing.m_endpoints[index.value()];
        const auto& excluded = request.m_excluded;
        if (!route.m_present || route.m_draining || endpointShare(routing.m_table, index) == 0
            || std::find(excluded.begin(), excluded.end(), index) != excluded.end())
            continue;
        if (now < stats.m_refusedUntil) {
            updateRetryAt(choice, stats.m_refusedUntil);
        } else if (!isWithinRateLimit(routing, index, now)) {
            passOverRateLimited(routing, index, choice, now);
        } else if (stats.m_ejected && (now < stats.m_ejectedUntil || stats.m_probing)) {
            if (!lastResort || stats.m_ejectedUntil < routing.m_endpoints[lastResort->value()].m_ejectedUntil)
                lastResort = index;
        } else if (!canTakeCall(routing, index, now)) {
            choice.m_busy = true;
        } else {
            const double cost = expectedCost(routing, index, request, now) * noise(random);
            candidates.push_back({ index, cost, loadShare(stats, routing.m_settings, now),
                isStalled(stats, request.m_typicalLatency, now) });
        }
    }
    choice.m_endpoint = cheapest(candidates, random);
    // An ejected endpoint is still used if the service has no other one.
    if (!choice.m_endpoint && !choice.m_busy && !choice.m_retryAt && !request.m_hedge)
        choice.m_endpoint = lastResort;
    return choice;
}

} // namespace flamingo
