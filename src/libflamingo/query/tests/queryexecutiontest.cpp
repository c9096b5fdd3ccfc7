#include "virtualdaemon.h"

#include <catch2/catch.hpp>

#include <map>
#include <optional>

using namespace flamingo;
using namespace flamingo::testing;

namespace {

const ServiceName verses("verses");

/** One daemon and a service of ten shards with two replicas each. m_delay returns the delay of each reply, if any. */
struct QueryFixture {
    VirtualTime m_time;
    PublishedState m_state;
    VirtualDaemon m_daemon;
    std::function<std::optional<Milliseconds>(const EndpointCall&)> m_delay;
    std::vector<EndpointCall> m_calls;
    unsigned m_cancelled = 0;

    QueryFixture()
        : m_daemon(m_time, settings(), 1)
    {
        m_state.m_vms[VmId("vm1")].m_id = VmId("vm1");
        ServiceDefinition& service = m_state.m_services[verses];
        service.m_name = verses;
        service.m_canary = false;
        service.m_deadline = Milliseconds(500);
        SnapshotLayout layout { { verses, SnapshotVersion(1), LayoutId(1) }, std::vector<std::uint32_t>(10, 1) };
        m_state.m_layouts[layout.m_key] = layout;
        for (unsigned i = 0; i < 20; ++i) {
            EndpointRecord record;
            record.m_id = EndpointId("e" + std::to_string(i));
            record.m_service = verses;
            record.m_holdings = { { SnapshotVersion(1), LayoutId(1), ShardIndex(i / 2) } };
            record.m_slots = 1;
            record.m_connections = 60;
            m_state.m_endpoints[record.m_id] = record;
        }
        m_daemon.m_cancel = [this](const RequestId&, AttemptNumber) { ++m_cancelled; };
        m_daemon.m_transport = [this](const EndpointCall& call, ReplyTo replyTo) {
            m_calls.push_back(call);
            EndpointReply reply;
            reply.m_outcome = CallOutcome::Answered;
            reply.m_status = 200;
            reply.m_request = call.m_request;
            reply.m_attempt = call.m_attempt;
            reply.m_snapshot = call.m_snapshot;
            reply.m_layout = call.m_layout;
            reply.m_shard = call.m_shard;
            reply.m_body = "[]";
            if (const auto delay = m_delay(call))
                m_time.after(*delay, [replyTo, reply] { replyTo(reply); });
        };
    }

    static RoutingSettings settings()
    {
        RoutingSettings settings;
        settings.m_vm = VmId("vm1");
        settings.m_initialHedgeDelay = Milliseconds(50);
        settings.m_callsBeyondSlots = 0;
        return settings;
    }

    struct Outcome {
        QueryAnswer m_answer;
        Milliseconds m_duration { 0 };
    };

    Outcome runQuery()
    {
        m_state.m_revision = Revision(m_state.m_revision.value() + 1);
        m_daemon.apply(std::make_shared<PublishedState>(m_state));
        Outcome outcome;
        start(outcome);
        while (m_time.runNext()) { }
        return outcome;
    }

    void start(Outcome& outcome)
    {
        QueryRequest request;
        request.m_id = RequestId("q");
        request.m_service = verses;
        const MonotonicTime started = m_time.now();
        m_daemon.start(request, [this, started, &outcome](const QueryExecution&, const QueryAnswer& answer) {
            outcome.m_answer = answer;
            outcome.m_duration = std::chrono::duration_cast<Milliseconds>(m_time.now() - started);
        });
    }
};

} // namespace

TEST_CASE("a query ends early or waits for all shards, according to the answer preference", "[query]")
{
    QueryFixture fixture;
    ServiceDefinition& service = fixture.m_state.m_services[verses];
    // Shard 9 answers after 300 ms on both replicas.
    fixture.m_delay = [](const EndpointCall& call) { return Milliseconds(call.m_shard == ShardIndex(9) ? 300 : 5); };
    service.m_coverageFloor = 0.9;

    SECTION("preference Early: the query ends when the patience after reaching the floor has passed")
    {
        const QueryFixture::Outcome outcome = fixture.runQuery();
        CHECK(outcome.m_answer.m_code == ResultCode::Ok);
        CHECK(outcome.m_answer.m_coverage == Approx(0.9));
        CHECK(outcome.m_duration == Milliseconds(25));
        CHECK(fixture.m_cancelled == 1);
    }
    SECTION("preference Early: the query does not end before it reaches the floor")
    {
        service.m_coverageFloor = 0.95;
        const QueryFixture::Outcome outcome = fixture.runQuery();
        CHECK(outcome.m_answer.m_coverage == 1.0);
        CHECK(outcome.m_duration == Milliseconds(300));
    }
    SECTION("preference Full: the query waits for all shards")
    {
        service.m_preference = AnswerPreference::Full;
        CHECK(fixture.runQuery().m_answer.m_coverage == 1.0);
        SECTION("the wait ends at the deadline")
        {
            service.m_deadline = Milliseconds(200);
            const QueryFixture::Outcome outcome = fixture.runQuery();
            CHECK(outcome.m_answer.m_code == ResultCode::Ok);
            CHECK(outcome.m_answer.m_coverage == Approx(0.9));
            CHECK(outcome.m_duration == Milliseconds(200));
            service.m_coverageFloor = 1.0;
            CHECK(fixture.runQuery().m_answer.m_code == ResultCode::CoverageBelowFloor);
        }
    }
}

TEST_CASE("a slow call is hedged", "[query]")
{
    QueryFixture fixture;
    fixture.m_state.m_services[verses].m_coverageFloor = 1.0;
    std::map<ShardIndex, unsigned> asked;
    fixture.m_delay = [&](const EndpointCall& call) -> std::optional<Milliseconds> {
        const bool first = ++asked[call.m_shard] == 1;
        if (call.m_shard == ShardIndex(3) && first)
            return std::nullopt;
        return Milliseconds(5);
    };

    // Otherwise the query would wait for an unresponsive connection.
    SECTION("a call without a reply is hedged once, at the other replica, on a recently active connection")
    {
        const QueryFixture::Outcome outcome = fixture.runQuery();
        CHECK(outcome.m_answer.m_coverage == 1.0);
        CHECK(outcome.m_duration == Milliseconds(55));
        CHECK(outcome.m_answer.m_endpointRequests == 11);
        REQUIRE(fixture.m_calls.size() == 11);
        CHECK(fixture.m_calls.back().m_recentlyActiveConnection);
        CHECK(fixture.m_cancelled == 1);
        for (std::size_t i = 0; i < 10; ++i)
            CHECK_FALSE(fixture.m_calls[i].m_endpoint == fixture.m_calls.back().m_endpoint);
    }
    SECTION("no hedge is sent without a token of the extra-load budget")
    {
        ExtraLoadBudget& budget = serviceStats(fixture.m_daemon.m_routing, verses).m_budget;
        budget.m_tokens = 0;
        CHECK(fixture.runQuery().m_answer.m_code == ResultCode::CoverageBelowFloor);
        CHECK(fixture.m_calls.size() == 10);
        CHECK(budget.m_denied > 0);
    }
    SECTION("no hedge is sent without a lease")
    {
        fixture.m_time.after(Milliseconds(10), [&] { fixture.m_daemon.m_leaseValid = false; });
        CHECK(fixture.runQuery().m_answer.m_code == ResultCode::CoverageBelowFloor);
        CHECK(fixture.m_calls.size() == 10);
    }
    SECTION("a call to the only replica is hedged on another connection")
    {
        fixture.m_state.m_endpoints.erase(EndpointId("e6"));
        const QueryFixture::Outcome outcome = fixture.runQuery();
        CHECK(outcome.m_answer.m_coverage == 1.0);
        CHECK(fixture.m_calls.back().m_endpoint == EndpointId("e7"));
        CHECK(fixture.m_calls.back().m_recentlyActiveConnection);
    }
}

TEST_CASE("queries wait for a free replica", "[query]")
{
    QueryFixture fixture;
    fixture.m_state.m_services[verses].m_coverageFloor = 1.0;
    fixture.m_delay = [](const EndpointCall&) { return Milliseconds(10); };
    fixture.m_daemon.apply(std::make_shared<PublishedState>(fixture.m_state));
    std::vector<QueryFixture::Outcome> outcomes(6);

    INFO("an endpoint gets no more calls than its limit, and every waiting call is sent in turn");
    for (QueryFixture::Outcome& outcome : outcomes)
        fixture.start(outcome);
    CHECK(fixture.m_calls.size() == 20);
    while (fixture.m_time.runNext()) { }
    CHECK(fixture.m_calls.size() == 60);
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        CHECK(outcomes[i].m_answer.m_coverage == 1.0);
        CHECK(outcomes[i].m_duration == Milliseconds(10 * (1 + i / 2)));
    }
}
