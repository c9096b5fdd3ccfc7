#include "forward/placement.h"

#include <algorithm>
#include <cmath>

namespace flamingo {

namespace {

// A route's calls are taken to last this long until some have ended.
constexpr Microseconds initialLatency { 5000 };
// What a call to another data centre costs beyond its latency, in bytes that are charged.
constexpr double remoteCost = 1500.0; // µs
// A refused or failed call costs the time until another one is sent, and extra load.
constexpr double badCallCost = 40000.0; // µs
// An endpoint is stalled if none of its calls has ended for this many latencies, and at least for this long.
constexpr double stallLatencies = 4.0;
constexpr double shortestStall = 15000.0; // µs
// A stalled endpoint is expected to go on with this delay.
constexpr double stallCost = 60000.0; // µs
// A cold endpoint is slower by up to this factor.
constexpr double coldFactor = 1.0;
// Endpoints whose costs differ by less are equal, so that VMs do not all choose the same one.
constexpr double jitter = 0.1;

double microseconds(MonotonicClock::duration time) { return std::chrono::duration<double, std::micro>(time).count(); }

double fading(MonotonicTime since, MonotonicTime now, Milliseconds halfLife)
{
    return halfLife.count() > 0 ? std::exp2(-microseconds(now - since) / microseconds(halfLife)) : 1.0;
}

double expectedCost(const RoutingState& routing, EndpointIndex index, double typical, MonotonicTime now)
{
    const EndpointRoute& route = routing.m_table.m_endpoints[index.value()];
    const EndpointStats& stats = routing.m_endpoints[index.value()];
    const Milliseconds halfLife = routing.m_settings.m_statsHalfLife;
    double latency = typical;
    if (stats.m_latency > 0.0)
        latency += (stats.m_latency - typical) * fading(stats.m_latencyAt, now, halfLife);
    latency *= 1.0 + double(stats.m_inFlight) / double(route.m_slots);
    latency *= 1.0 + coldFactor * (1.0 - rampShare(stats, routing.m_settings, now));
    double cost = latency + badCallCost * stats.m_failureRate * fading(stats.m_failureRateAt, now, halfLife);
    if (route.m_dataCentre != routing.m_settings.m_dataCentre)
        cost += remoteCost;
    const double waiting = microseconds(now - stats.m_lastProgressAt);
    if (stats.m_inFlight > 0 && waiting > std::max(shortestStall, stallLatencies * typical))
        cost += stallCost;
    return cost;
}

void noteRetryAt(EndpointChoice& choice, MonotonicTime at)
{
    choice.m_retryAt = choice.m_retryAt ? std::min(*choice.m_retryAt, at) : at;
}

} // namespace

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
    const auto typical = static_cast<double>(request.m_typicalLatency.count());
    std::uniform_real_distribution<double> noise(1.0 - jitter, 1.0 + jitter);
    EndpointChoice choice;
    std::optional<EndpointIndex> lastResort;
    double least = 0.0;
    for (const EndpointIndex index : request.m_replicas) {
        const EndpointRoute& route = routing.m_table.m_endpoints[index.value()];
        const EndpointStats& stats = routing.m_endpoints[index.value()];
        const auto& excluded = request.m_excluded;
        if (!route.m_present || route.m_draining || endpointShare(routing.m_table, index) == 0
            || std::find(excluded.begin(), excluded.end(), index) != excluded.end())
            continue;
        if (now < stats.m_refusedUntil) {
            noteRetryAt(choice, stats.m_refusedUntil);
        } else if (stats.m_ejected && (now < stats.m_ejectedUntil || stats.m_probing)) {
            if (!lastResort || stats.m_ejectedUntil < routing.m_endpoints[lastResort->value()].m_ejectedUntil)
                lastResort = index;
        } else if (!canTakeCall(routing, index, now)) {
            choice.m_busy = true;
        } else {
            const double cost = expectedCost(routing, index, typical, now) * noise(random);
            if (!choice.m_endpoint || cost < least) {
                choice.m_endpoint = index;
                least = cost;
            }
        }
    }
    // Ejection never takes the last replica of a service.
    if (!choice.m_endpoint && !choice.m_busy && !choice.m_retryAt && !request.m_hedge)
        choice.m_endpoint = lastResort;
    return choice;
}

} // namespace flamingo
