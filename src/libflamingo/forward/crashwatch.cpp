#include "forward/crashwatch.h"

#include <algorithm>
#include <array>
#include <utility>

namespace flamingo {

namespace {

// When the port is tested, counted from the loss.
constexpr std::array<Milliseconds, 6> testTimes { Milliseconds(0), Milliseconds(100), Milliseconds(250),
    Milliseconds(600), Milliseconds(1500), Milliseconds(3000) };
// A host answers within a round trip. One that does not for this long is down or cut off.
constexpr Milliseconds minSilence { 500 };
// A process that ends may answer calls for a moment after it has closed the first connection.
constexpr Milliseconds settlingTime { 1000 };
// An endpoint that has started announces itself well within this time.
constexpr Milliseconds registrationTime { 2000 };

EndpointLifetime lifetimeOf(const LostEndpoint& endpoint) { return { endpoint.m_id, endpoint.m_incarnation }; }

using Watched = std::map<EndpointLifetime, WatchedEndpoint>::iterator;

Watched decide(CrashWatch& watch, Watched endpoint, EndpointFate fate, const char* evidence)
{
    watch.m_verdicts.push_back({ std::move(endpoint->second), fate, evidence });
    return watch.m_endpoints.erase(endpoint);
}

void scheduleTest(WatchedEndpoint& endpoint)
{
    endpoint.m_nextTestAt
        = endpoint.m_tests < testTimes.size() ? endpoint.m_lostAt + testTimes[endpoint.m_tests] : MonotonicTime::max();
}

bool hasSuccessor(const RoutingTable& table, const LostEndpoint& endpoint)
{
    const auto same = table.m_positions.find(endpoint.m_id);
    if (same != table.m_positions.end())
        return table.m_endpoints[same->second.value()].m_incarnation > endpoint.m_incarnation;
    const auto members = table.m_members.find(endpoint.m_service);
    if (members == table.m_members.end())
        return false;
    return std::any_of(members->second.begin(), members->second.end(), [&](EndpointIndex index) {
        const EndpointRoute& route = table.m_endpoints[index.value()];
        return route.m_present && route.m_address == endpoint.m_address && route.m_port == endpoint.m_port;
    });
}

} // namespace

void watchEndpoint(CrashWatch& watch, const LostCall& call, const std::shared_ptr<CrashSuspicion>& request)
{
    const EndpointLifetime lifetime = lifetimeOf(call.m_endpoint);
    if (watch.m_endpoints.size() >= CrashWatch::maxEndpoints && watch.m_endpoints.count(lifetime) == 0)
        return;
    WatchedEndpoint& endpoint = watch.m_endpoints[lifetime];
    endpoint.m_endpoint = call.m_endpoint;
    endpoint.m_lostAt = std::max(endpoint.m_lostAt, call.m_lostAt);
    endpoint.m_order = ++watch.m_lastOrder;
    endpoint.m_answersSince.reset();
    if (endpoint.m_suspicions.size() < CrashWatch::maxSuspicionsPerEndpoint)
        endpoint.m_suspicions.push_back({ request, call.m_lostAt });
    if (!call.m_disconnected)
        return;
    endpoint.m_tests = 0;
    scheduleTest(endpoint);
}

std::vector<LostEndpoint> takeDuePortTests(CrashWatch& watch, MonotonicTime now)
{
    std::map<std::uint64_t, WatchedEndpoint*> due;
    for (auto& [lifetime, endpoint] : watch.m_endpoints) {
        if (!endpoint.m_testing && now >= endpoint.m_nextTestAt)
            due[endpoint.m_order] = &endpoint;
    }
    std::vector<LostEndpoint> endpoints;
    for (const auto& [order, endpoint] : due) {
        endpoint->m_testing = true;
        ++endpoint->m_tests;
        scheduleTest(*endpoint);
        endpoints.push_back(endpoint->m_endpoint);
    }
    return endpoints;
}

void recordPortTest(
    CrashWatch& watch, const EndpointLifetime& lifetime, PortState state, bool vmCutOff, MonotonicTime now)
{
    const auto found = watch.m_endpoints.find(lifetime);
    if (found == watch.m_endpoints.end())
        return;
    WatchedEndpoint& endpoint = found->second;
    endpoint.m_testing = false;
    if (vmCutOff || state == PortState::Accepting) {
        endpoint.m_silentSince.reset();
        return;
    }
    if (state == PortState::Refusing) {
        decide(watch, found, EndpointFate::Ended, "its port refuses connections");
        return;
    }
    if (!endpoint.m_silentSince)
        endpoint.m_silentSince = now;
    else if (now - *endpoint.m_silentSince >= minSilence)
        decide(watch, found, EndpointFate::Ended, "its address is silent");
}

void recordWatchedReply(CrashWatch& watch, const Attempt& attempt, const EndpointReply& reply, MonotonicTime now)
{
    if (watch.m_endpoints.empty() || reply.m_outcome != CallOutcome::Answered)
        return;
    const auto found = watch.m_endpoints.find({ attempt.m_endpointId, attempt.m_incarnation });
    if (found == watch.m_endpoints.end() || attempt.m_sentAt < found->second.m_lostAt)
        return;
    if (reply.m_wrongEndpoint) {
        decide(watch, found, EndpointFate::Ended, "another endpoint answers in its place");
        return;
    }
    WatchedEndpoint& endpoint = found->second;
    if (endpoint.m_answersSince || attempt.m_sentAt < endpoint.m_lostAt + settlingTime)
        return;
    endpoint.m_answersSince = now;
    endpoint.m_nextTestAt = MonotonicTime::max();
}

void updateCrashWatch(CrashWatch& watch, const RoutingTable& table, MonotonicTime now)
{
    for (auto endpoint = watch.m_endpoints.begin(); endpoint != watch.m_endpoints.end();) {
        if (hasSuccessor(table, endpoint->second.m_endpoint))
            endpoint = decide(watch, endpoint, EndpointFate::Ended, "its successor is registered");
        else if (endpoint->second.m_answersSince && now - *endpoint->second.m_answersSince >= registrationTime)
            endpoint = decide(watch, endpoint, EndpointFate::Running, "it answers");
        else if (now - endpoint->second.m_lostAt >= CrashWatch::watchPeriod)
            endpoint = decide(watch, endpoint, EndpointFate::Undecided, "no sign of its end in time");
        else
            ++endpoint;
    }
}

std::optional<MonotonicTime> nextWatchAt(const CrashWatch& watch)
{
    std::optional<MonotonicTime> next;
    for (const auto& [lifetime, endpoint] : watch.m_endpoints) {
        const MonotonicTime testAt = endpoint.m_testing ? MonotonicTime::max() : endpoint.m_nextTestAt;
        const MonotonicTime runningAt
            = endpoint.m_answersSince ? *endpoint.m_answersSince + registrationTime : MonotonicTime::max();
        const MonotonicTime at = std::min({ testAt, runningAt, endpoint.m_lostAt + CrashWatch::watchPeriod });
        next = std::min(next.value_or(at), at);
    }
    return next;
}

} // namespace flamingo
