#include "routingfixture.h"

#include <catch2/catch.hpp>

using namespace flamingo;
using namespace flamingo::testing;

namespace {

std::string chosen(RoutingState& routing, RandomEngine& random, MonotonicTime now,
    const std::vector<EndpointIndex>& excluded = {}, ProbeUse probes = ProbeUse::Allowed)
{
    const auto& snapshot = findService(routing.m_table, verses)->m_snapshots.begin()->second;
    const EndpointChoice choice = chooseEndpoint(routing, { snapshot.m_replicas[0], excluded, probes }, random, now);
    return choice.m_endpoint ? routing.m_table.m_endpoints[choice.m_endpoint->value()].m_id.value() : "none";
}

void fail(EndpointStats& stats, CallVerdict verdict, const RoutingSettings& settings, MonotonicTime now)
{
    CallEnd end;
    end.m_probe = noteCallSent(stats, now);
    end.m_verdict = verdict;
    noteCallEnded(stats, end, settings, now);
}

} // namespace

TEST_CASE("a replica is chosen for a call", "[routing]")
{
    RandomEngine random(1);
    PublishedState state = stateWithShards({ 1 });
    addEndpoint(state, endpointRecord("near", 0, "a"));
    addEndpoint(state, endpointRecord("far", 0, "b"));

    SECTION("guards against queries that cross data centres without need")
    {
        RoutingState routing = routingFor(state);
        for (int i = 0; i < 50; ++i)
            CHECK(chosen(routing, random, at(0)) == "near");
        SECTION("and against staying with a local replica that is full, refuses, or is clearly slower")
        {
            SECTION("without a free slot") { statsFor(routing, "near").m_inFlight = 2; }
            SECTION("refusing until its retry time")
            {
                CallEnd end;
                end.m_verdict = CallVerdict::Shed;
                end.m_retryAfter = Milliseconds(100);
                noteCallEnded(statsFor(routing, "near"), end, routing.m_settings, at(0));
                CHECK(chosen(routing, random, at(101)) == "near");
            }
            SECTION("slower")
            {
                statsFor(routing, "near").m_latency = 40000;
                statsFor(routing, "far").m_latency = 9000;
            }
            SECTION("ejected after a lost connection")
            {
                fail(statsFor(routing, "near"), CallVerdict::Disconnected, routing.m_settings, at(0));
            }
            CHECK(chosen(routing, random, at(10)) == "far");
        }
    }

    SECTION("guards against calls beyond the bound, or beyond the share of connections")
    {
        RoutingState routing = routingFor(state);
        for (const char* id : { "near", "far" })
            statsFor(routing, id).m_inFlight = 2;
        CHECK(chosen(routing, random, at(0)) != "none");
        SECTION("bound") { statsFor(routing, "near").m_inFlight = statsFor(routing, "far").m_inFlight = 3; }
        SECTION("share")
        {
            for (int i = 2; i <= 30; ++i)
                state.m_vms[VmId("vm" + std::to_string(i))].m_id = VmId("vm" + std::to_string(i));
            applyPublishedState(routing, std::make_shared<PublishedState>(state), at(1));
        }
        CHECK(chosen(routing, random, at(2)) == "none");
    }

    SECTION("guards against work for an endpoint that drains or was tried already")
    {
        SECTION("announced by the endpoint") { state.m_endpoints[EndpointId("near")].m_draining = true; }
        SECTION("ordered by an operator") { state.m_operatorDrains.insert(EndpointId("near")); }
        RoutingState routing = routingFor(state);
        CHECK(chosen(routing, random, at(0)) == "far");
        CHECK(chosen(routing, random, at(0), { indexOf(routing, "far") }) == "none");
    }

    SECTION("guards against a shard that loses its last replica to ejection")
    {
        RoutingState routing = routingFor(state);
        for (const char* id : { "near", "far" })
            fail(statsFor(routing, id), CallVerdict::Disconnected, routing.m_settings, at(0));
        CHECK(chosen(routing, random, at(1)) != "none");
    }

    SECTION("guards against load reports that mislead: they only break ties")
    {
        addEndpoint(state, endpointRecord("liar", 0, "a"));
        RoutingState routing = routingFor(state);
        statsFor(routing, "liar").m_reportedLoad = 0.0;
        statsFor(routing, "near").m_reportedLoad = 0.9;
        CHECK(chosen(routing, random, at(0)) == "liar");
        statsFor(routing, "liar").m_latency = 9000;
        statsFor(routing, "near").m_latency = 5000;
        CHECK(chosen(routing, random, at(0)) == "near");
        statsFor(routing, "near").m_inFlight = 1;
        CHECK(chosen(routing, random, at(0)) == "liar");
    }

    SECTION("guards against full load on an endpoint that has just arrived")
    {
        RoutingState routing = routingFor(state);
        addEndpoint(state, endpointRecord("cold", 0, "a"));
        state.m_revision = Revision(2);
        applyPublishedState(routing, std::make_shared<PublishedState>(state), at(1000));
        int early = 0;
        for (int i = 0; i < 1000; ++i)
            early += chosen(routing, random, at(1000)) == "cold" ? 1 : 0;
        CHECK(early > 0);
        CHECK(early < 200);
        int late = 0;
        for (int i = 0; i < 1000; ++i)
            late += chosen(routing, random, at(7000)) == "cold" ? 1 : 0;
        CHECK(late > 300);
    }
}

TEST_CASE("an ejected endpoint returns through probes", "[routing]")
{
    RandomEngine random(1);
    PublishedState state = stateWithShards({ 1 });
    addEndpoint(state, endpointRecord("bad", 0));
    addEndpoint(state, endpointRecord("good", 0));
    RoutingState routing = routingFor(state);
    EndpointStats& bad = statsFor(routing, "bad");
    fail(bad, CallVerdict::Disconnected, routing.m_settings, at(0));
    REQUIRE(bad.m_ejected);

    SECTION("guards against traffic to it before the ejection ends, and against a hedge as probe")
    {
        for (int i = 0; i < 50; ++i)
            CHECK(chosen(routing, random, at(499)) == "good");
        CHECK(chosen(routing, random, at(501), {}, ProbeUse::Never) == "good");
    }

    SECTION("guards against an order lost to a probe, and against an endpoint of orders that never returns")
    {
        CHECK(chosen(routing, random, at(501), {}, ProbeUse::Harmless) == "good");
        CHECK(chosen(routing, random, at(31000), {}, ProbeUse::Harmless) == "bad");
        fail(bad, CallVerdict::NotReached, routing.m_settings, at(31000));
        CHECK(chosen(routing, random, at(32000), {}, ProbeUse::Harmless) == "bad");
    }

    SECTION("guards against more than one probe at a time")
    {
        CHECK(chosen(routing, random, at(501)) == "bad");
        CallEnd end;
        end.m_probe = noteCallSent(bad, at(502));
        CHECK(end.m_probe);
        CHECK(chosen(routing, random, at(502)) == "good");

        SECTION("guards against an early return: a failed probe doubles the ejection up to a bound")
        {
            end.m_verdict = CallVerdict::LostRace;
            noteCallEnded(bad, end, routing.m_settings, at(600));
            CHECK(bad.m_ejectedUntil == at(1600));
            for (int i = 0; i < 20; ++i)
                fail(bad, CallVerdict::Failed, routing.m_settings, at(2000));
            CHECK(bad.m_ejectedUntil == at(32000));
        }
        SECTION("an answered probe readmits it with a small share")
        {
            end.m_verdict = CallVerdict::Answered;
            noteCallEnded(bad, end, routing.m_settings, at(600));
            CHECK_FALSE(bad.m_ejected);
            CHECK(rampShare(bad, routing.m_settings, at(600)) < 0.2);
        }
    }

    SECTION("guards against readmission by a call that was in flight before the ejection")
    {
        EndpointStats& good = statsFor(routing, "good");
        noteCallSent(good, at(0));
        noteCallSent(good, at(0));
        CallEnd lost;
        lost.m_verdict = CallVerdict::Disconnected;
        noteCallEnded(good, lost, routing.m_settings, at(0));
        CallEnd answered;
        answered.m_verdict = CallVerdict::Answered;
        noteCallEnded(good, answered, routing.m_settings, at(1));
        CHECK(good.m_ejected);
    }
}
