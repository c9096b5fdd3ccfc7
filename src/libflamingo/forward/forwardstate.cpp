#include "forward/forwardstate.h"

#include "forward/crashsuspects.h"

#include "forward/mergeplan.h"

#include <algorithm>

namespace flamingo {

namespace {

// Below this number of samples the latency distribution of a route is not meaningful.
constexpr std::uint64_t minHedgeSamples = 40;
// With this weight three calls are enough to detect a slow endpoint. With this half-life an endpoint counts as possibly
// recovered after a few seconds without calls.
constexpr double latencyWeight = 0.3;
constexpr Milliseconds memoryHalfLife { 2000 };
// A lost endpoint usually returns within seconds, and calling one that has not is cheap.
constexpr Milliseconds maxEjection { 4000 };
// Keeps an endpoint busy while answers are in transit, without filling its queue.
constexpr double callsPerSlot = 4.0;
// Requests remembered as harmless. Small, since a VM sees few of them within the life of its endpoints.
constexpr std::size_t rememberedRequests = 4096;

void replaceRoutes(ForwardState& state, const PublishedState& published)
{
    state.m_routes = RouteTable();
    for (const auto& [key, route] : published.m_routes)
        insertRoute(state.m_routes, route);
}

void updateRoutes(ForwardState& state, const std::vector<Change>& changes)
{
    for (const Change& change : changes) {
        if (const auto* route = std::get_if<Route>(&change))
            insertRoute(state.m_routes, *route);
        else if (const auto* erased = std::get_if<ErasedRoute>(&change))
            eraseRoute(state.m_routes, erased->m_route);
    }
}

bool concernsCustomers(const Change& change)
{
    return std::holds_alternative<Customer>(change) || std::holds_alternative<ErasedCustomer>(change);
}

void updateCustomers(ForwardState& state, const PublishedState& published, const std::vector<Change>* changes)
{
    state.m_customers.m_requiresKeys = published.m_routeHeader.m_requiresKeys;
    if (!changes || !state.m_routing.m_state || std::any_of(changes->begin(), changes->end(), concernsCustomers))
        replaceCustomers(state.m_customers, published.m_customers);
}

void removeStaleLatencies(ForwardState& state, const PublishedState& published)
{
    for (auto known = state.m_latencies.begin(); known != state.m_latencies.end();)
        known = published.m_routes.count(known->first) > 0 ? std::next(known) : state.m_latencies.erase(known);
}

} // namespace

ForwardState makeForwardState(const VmId& vm, const DataCentreName& dataCentre)
{
    ForwardState state;
    RoutingSettings routing;
    routing.m_vm = vm;
    routing.m_dataCentre = dataCentre;
    routing.m_latencyWeight = latencyWeight;
    routing.m_statsHalfLife = memoryHalfLife;
    routing.m_maxEjection = maxEjection;
    state.m_mergers = makeRoutingState(routing);
    state.m_relays = makeRoutingState(routing);
    routing.m_callsPerSlot = callsPerSlot;
    state.m_routing = makeRoutingState(routing);
    state.m_fingerprints = makeFingerprintMemory(rememberedRequests);
    return state;
}

void applyForwardState(ForwardState& state, std::shared_ptr<const PublishedState> published, MonotonicTime now,
    const std::vector<Change>* changes)
{
    if (changes && state.m_routing.m_state)
        updateRoutes(state, *changes);
    else
        replaceRoutes(state, *published);
    state.m_header = published->m_routeHeader;
    updateCustomers(state, *published, changes);
    removeStaleLatencies(state, *published);
    const std::shared_ptr<const PublishedState> before = state.m_routing.m_state;
    applyPublishedState(state.m_routing, std::move(published), now, changes);
    updateMergers(state, now);
    updateQuarantines(state, before.get(), now);
    updateCrashWatch(state.m_crashWatch, state.m_routing.m_table, now);
}

ServiceStats& forwardStats(ForwardState& state, const ServiceName& service)
{
    ServiceStats& stats = serviceStats(state.m_routing, service);
    const double vms = callingVms(state.m_routing.m_table, service);
    stats.m_budget.m_fraction = state.m_settings.m_extraLoadShare;
    // Every VM can send at least one extra call, however many VMs share the budget.
    const double burst = std::max(1.0, state.m_settings.m_extraLoadCalls / vms);
    stats.m_budget.m_tokens = std::clamp(stats.m_budget.m_tokens + burst - stats.m_budget.m_burst, 0.0, burst);
    stats.m_budget.m_burst = burst;
    return stats;
}

Microseconds forwardHedgeDelay(const ForwardState& state, const Route& route)
{
    const ForwardSettings& settings = state.m_settings;
    Microseconds longest = settings.m_maxHedgeDelay;
    if (route.m_goal.count() > 0)
        longest = std::chrono::duration_cast<Microseconds>(
            std::chrono::duration<double, std::milli>(double(route.m_goal.count()) * settings.m_maxHedgeShare));
    longest = std::max(longest, settings.m_minHedgeDelay);
    const auto known = state.m_latencies.find(route.m_key);
    if (known == state.m_latencies.end() || latencySamples(known->second) < minHedgeSamples)
        return longest;
    const auto learned = latencyQuantile(known->second, settings.m_hedgeQuantile);
    return std::clamp(learned.value_or(longest), settings.m_minHedgeDelay, longest);
}

Milliseconds spreadRetryAfter(ForwardState& state, Milliseconds roomAfter)
{
    const ForwardSettings& settings = state.m_settings;
    const Milliseconds least = std::clamp(roomAfter, settings.m_minRetryAfter, settings.m_maxRoomRetryAfter);
    std::uniform_int_distribution<Milliseconds::rep> drawn(least.count(), 2 * least.count());
    return Milliseconds(drawn(state.m_random));
}

Microseconds remoteHedgeDelay(const ForwardState& state, const Route& route, MonotonicClock::duration timeLeft)
{
    const Microseconds local = forwardHedgeDelay(state, route);
    if (route.m_goal.count() == 0)
        return local;
    constexpr double goalShare = 0.2;
    // Time for the hedge: the delay is longer than most calls take.
    constexpr int callsInTime = 2;
    const std::chrono::duration<double, std::milli> wait(double(route.m_goal.count()) * goalShare);
    const Microseconds patient = local + std::chrono::duration_cast<Microseconds>(wait);
    const Microseconds latest = std::chrono::duration_cast<Microseconds>(timeLeft) - local * callsInTime;
    return std::max(local, std::min(patient, latest));
}

} // namespace flamingo
