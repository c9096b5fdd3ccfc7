#include "virtualdaemon.h"

#include <catch2/catch.hpp>

#include <map>
#include <optional>

using namespace flamingo;
using namespace flamingo::testing;

namespace {

const ServiceName verses("verses");

/** One daemon and ten shards with two replicas; the delay of each call comes from a function. */
struct Desk {
    VirtualTime m_time;
    PublishedState m_state;
    VirtualDaemon m_daemon;
    std::function<std::optional<Milliseconds>(const EndpointCall&)> m_delay;
    std::vector<EndpointCall> m_calls;
    unsigned m_cancelled = 0;

    Desk()
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
        Milliseconds m_took { 0 };
    };

    Outcome ask()
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
            outcome.m_took = std::chrono::duration_cast<Milliseconds>(m_time.now() - started);
        });
    }
};

} // namespace

TEST_CASE("a query ends early or waits for all shards, as its service prefers", "[query]")
{
    Desk desk;
    ServiceDefinition& service = desk.m_state.m_services[verses];
    // Shard 9 answers after 300 ms on both replicas.
    desk.m_delay = [](const EndpointCall& call) { return Milliseconds(call.m_shard == ShardIndex(9) ? 300 : 5); };
    service.m_coverageFloor = 0.9;

    SECTION("guards against a caller who waits for a straggler beyond the patience")
    {
        const Desk::Outcome outcome = desk.ask();
        CHECK(outcome.m_answer.m_code == ResultCode::Ok);
        CHECK(outcome.m_answer.m_coverage == Approx(0.9));
        CHECK(outcome.m_took == Milliseconds(25));
        CHECK(desk.m_cancelled == 1);
    }
    SECTION("guards against an answer below the floor that is given early")
    {
        service.m_coverageFloor = 0.95;
        const Desk::Outcome outcome = desk.ask();
        CHECK(outcome.m_answer.m_coverage == 1.0);
        CHECK(outcome.m_took == Milliseconds(300));
    }
    SECTION("guards against a lost shard where full answers are preferred")
    {
        service.m_preference = AnswerPreference::Full;
        CHECK(desk.ask().m_answer.m_coverage == 1.0);
        SECTION("and against a wait beyond the deadline")
        {
            service.m_deadline = Milliseconds(200);
            const Desk::Outcome outcome = desk.ask();
            CHECK(outcome.m_answer.m_code == ResultCode::Ok);
            CHECK(outcome.m_answer.m_coverage == Approx(0.9));
            CHECK(outcome.m_took == Milliseconds(200));
            service.m_coverageFloor = 1.0;
            CHECK(desk.ask().m_answer.m_code == ResultCode::CoverageBelowFloor);
        }
    }
}

TEST_CASE("a straggler is hedged", "[query]")
{
    Desk desk;
    desk.m_state.m_services[verses].m_coverageFloor = 1.0;
    std::map<ShardIndex, unsigned> asked;
    desk.m_delay = [&](const EndpointCall& call) -> std::optional<Milliseconds> {
        const bool first = ++asked[call.m_shard] == 1;
        if (call.m_shard == ShardIndex(3) && first)
            return std::nullopt;
        return Milliseconds(5);
    };

    SECTION("guards against a query that waits for a silent connection, and against the wrong hedge")
    {
        const Desk::Outcome outcome = desk.ask();
        CHECK(outcome.m_answer.m_coverage == 1.0);
        CHECK(outcome.m_took == Milliseconds(55));
        CHECK(outcome.m_answer.m_endpointRequests == 11);
        REQUIRE(desk.m_calls.size() == 11);
        CHECK(desk.m_calls.back().m_provenConnection);
        CHECK(desk.m_cancelled == 1);
        for (std::size_t i = 0; i < 10; ++i)
            CHECK_FALSE(desk.m_calls[i].m_endpoint == desk.m_calls.back().m_endpoint);
    }
    SECTION("guards against hedges beyond the budget")
    {
        ExtraLoadBudget& budget = serviceStats(desk.m_daemon.m_routing, verses).m_budget;
        budget.m_tokens = 0;
        CHECK(desk.ask().m_answer.m_code == ResultCode::CoverageBelowFloor);
        CHECK(desk.m_calls.size() == 10);
        CHECK(budget.m_denied > 0);
    }
    SECTION("guards against calls without a lease")
    {
        desk.m_time.after(Milliseconds(10), [&] { desk.m_daemon.m_leaseValid = false; });
        CHECK(desk.ask().m_answer.m_code == ResultCode::CoverageBelowFloor);
        CHECK(desk.m_calls.size() == 10);
    }
    SECTION("guards against a sole replica that is never asked on another connection")
    {
        desk.m_state.m_endpoints.erase(EndpointId("e6"));
        const Desk::Outcome outcome = desk.ask();
        CHECK(outcome.m_answer.m_coverage == 1.0);
        CHECK(desk.m_calls.back().m_endpoint == EndpointId("e7"));
        CHECK(desk.m_calls.back().m_provenConnection);
    }
}

TEST_CASE("queries wait for a free replica", "[query]")
{
    Desk desk;
    desk.m_state.m_services[verses].m_coverageFloor = 1.0;
    desk.m_delay = [](const EndpointCall&) { return Milliseconds(10); };
    desk.m_daemon.apply(std::make_shared<PublishedState>(desk.m_state));
    std::vector<Desk::Outcome> outcomes(6);

    INFO("guards against more calls at an endpoint than its bound, and against waiting calls that are forgotten");
    for (Desk::Outcome& outcome : outcomes)
        desk.start(outcome);
    CHECK(desk.m_calls.size() == 20);
    while (desk.m_time.runNext()) { }
    CHECK(desk.m_calls.size() == 60);
    for (std::size_t i = 0; i < outcomes.size(); ++i) {
        CHECK(outcomes[i].m_answer.m_coverage == 1.0);
        CHECK(outcomes[i].m_took == Milliseconds(10 * (1 + i / 2)));
    }
}
