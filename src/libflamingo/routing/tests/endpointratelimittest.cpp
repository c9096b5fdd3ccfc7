#include "routingfixture.h"

#include "routing/attempt.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <cmath>
#include <deque>

using namespace flamingo;
using namespace flamingo::testing;

namespace {

constexpr double spanSeconds = 4.0;

double tolerated(double limit) { return 1.5 * spanSeconds * limit + 5.0; }

void nameLimit(RoutingState& routing, const std::string& id, double limit, MonotonicTime now)
{
    Attempt attempt = beginAttempt(routing, indexOf(routing, id), false, now);
    EndpointReply reply;
    reply.m_outcome = CallOutcome::Answered;
    reply.m_status = 200;
    reply.m_rateLimit = RequestsPerSecond(limit);
    endAttempt(routing, verses, attempt, CallVerdict::Answered, &reply, now);
}

void call(RoutingState& routing, EndpointIndex endpoint, MonotonicTime now)
{
    Attempt attempt = beginAttempt(routing, endpoint, false, now);
    endAttempt(routing, verses, attempt, CallVerdict::Abandoned, nullptr, now);
}

} // namespace

TEST_CASE("the shares of all VMs stay below the rate that an endpoint tolerates", "[routing]")
{
    rc::prop("for any limit and number of VMs", [] {
        const double limit = *rc::gen::inRange(0, 2000000) / 100.0;
        const auto vms = *rc::gen::inRange<std::uint32_t>(1, 300);
        const RateShare share = rateShare(RequestsPerSecond(limit), vms);
        const double total = share.m_rate.value() * vms;
        RC_ASSERT(share.m_burst >= 1.0);
        RC_ASSERT(total <= std::max(limit, 0.25) * (1.0 + 1e-9));
        const double calls = total * spanSeconds;
        const bool always = share.m_burst * vms + calls <= tolerated(limit) + 1e-6;
        const bool farFromIt = calls + 4.0 * std::sqrt(calls) <= tolerated(limit);
        RC_ASSERT(always || farFromIt);
    });
    rc::prop("a VM sends no more than its share and its burst in any span", [] {
        const double limit = *rc::gen::inRange(0, 100000) / 100.0;
        const auto vms = *rc::gen::inRange<std::uint32_t>(1, 300);
        const auto gaps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 400));
        const RateShare share = rateShare(RequestsPerSecond(limit), vms);
        EndpointRateLimit rateLimit;
        setRateLimit(rateLimit, RequestsPerSecond(limit), *rc::gen::inRange(0, 100) / 100.0, at(0));
        std::deque<MonotonicTime> window;
        MonotonicTime now = at(0);
        for (const int gap : gaps) {
            now += Milliseconds(gap);
            if (!permitsCall(rateLimit, vms, now)) {
                RC_ASSERT(nextCallAt(rateLimit, vms, now) > now);
                continue;
            }
            countCall(rateLimit, vms, now);
            window.push_back(now);
            while (now - window.front() > std::chrono::duration<double>(spanSeconds))
                window.pop_front();
            RC_ASSERT(double(window.size()) <= share.m_burst + share.m_rate.value() * spanSeconds + 1e-6);
        }
    });
}

TEST_CASE("an endpoint at its rate limit gets no call of any kind", "[routing]")
{
    RandomEngine random(1);
    PublishedState state = stateWithShards({ 1 });
    addEndpoint(state, endpointRecord("near", 0, "a"));
    addEndpoint(state, endpointRecord("far", 0, "b"));
    RoutingState routing = routingFor(state);
    const EndpointIndex near = indexOf(routing, "near");
    const auto choose = [&](ProbeUse probes, MonotonicTime now) {
        const auto& snapshot = findService(routing.m_table, verses)->m_snapshots.begin()->second;
        return chooseEndpoint(routing, { snapshot.m_replicas[0], {}, probes }, random, now);
    };
    nameLimit(routing, "near", 1.0, at(0));
    while (canTakeCall(routing, near, at(0)))
        call(routing, near, at(0));

    SECTION("first calls, retries and hedges go to the other replica")
    {
        for (const ProbeUse probes : { ProbeUse::Allowed, ProbeUse::OnlyIfHarmless, ProbeUse::Never })
            CHECK(choose(probes, at(1)).m_endpoint == indexOf(routing, "far"));
        CHECK_FALSE(canTryConnection(routing, near, at(1)));
    }
    SECTION("it is not probed while it is ejected, not even as the last replica")
    {
        EndpointStats& stats = statsFor(routing, "near");
        stats.m_ejected = true;
        stats.m_ejectedUntil = at(0);
        statsFor(routing, "far").m_refusedUntil = at(5000);
        CHECK_FALSE(choose(ProbeUse::Allowed, at(1)).m_endpoint);
    }
    SECTION("with the other replica at its limit too, the choice says when a call is possible")
    {
        nameLimit(routing, "far", 1.0, at(0));
        while (canTakeCall(routing, indexOf(routing, "far"), at(0)))
            call(routing, indexOf(routing, "far"), at(0));
        const EndpointChoice choice = choose(ProbeUse::Allowed, at(1));
        CHECK_FALSE(choice.m_endpoint);
        REQUIRE(choice.m_rateLimitedUntil);
        CHECK(choose(ProbeUse::Allowed, *choice.m_rateLimitedUntil).m_endpoint);
    }
    SECTION("a limit that ends and begins anew grants no further calls")
    {
        EndpointRateLimit& rateLimit = statsFor(routing, "near").m_rateLimit;
        setRateLimit(rateLimit, std::nullopt, 0.9, at(1));
        CHECK(canTakeCall(routing, near, at(1)));
        setRateLimit(rateLimit, RequestsPerSecond(1.0), 0.9, at(2));
        CHECK_FALSE(canTakeCall(routing, near, at(2)));
    }
}
