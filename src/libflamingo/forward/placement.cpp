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
// A cold endpoint is slower by up to this share of its latency.
constexpr double coldFactor = 1.0;
// Relative random variation of costs, so that VMs do not all choose the same one of nearly equal endpoints.
constexpr double jitter = 0.1;

double microseconds(MonotonicClock::duration time) { return std::chrono::duration<double, std::micro>(time).count(); }

// Returns the weight of an observation made at the given time, halved with every half-life.
double decayFactor(MonotonicTime since, MonotonicTime now, Milliseconds halfLife)
{
    return halfLife.count() > 0 ? std::exp2(-microseconds(now - since) / microseconds(halfLife)) : 1.0;
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
    latency *= 1.0 + coldFactor * (1.0 - rampShare(stats, routing.m_settings, now));
    double cost = latency + failedCallCost * stats.m_failureRate * decayFactor(stats.m_failureRateAt, now, halfLife);
    if (route.m_dataCentre != routing.m_settings.m_dataCentre)
        cost += static_cast<double>(request.m_remotePenalty.count());
    const double waiting = microseconds(now - stats.m_lastProgressAt);
    if (stats.m_inFlight > 0 && waiting > std::max(minStall, stallLatencyFactor * typical))
        cost += stallCost;
    return cost;
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
    double lowestCost = 0.0;
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
            if (!choice.m_endpoint || cost < lowestCost) {
                choice.m_endpoint = index;
                lowestCost = cost;
            }
        }
    }
    // An ejected endpoint is still used if the service has no other one.
    if (!choice.m_endpoint && !choice.m_busy && !choice.m_retryAt && !request.m_hedge)
        choice.m_endpoint = lastResort;
    return choice;
}

} // namespace flamingo
