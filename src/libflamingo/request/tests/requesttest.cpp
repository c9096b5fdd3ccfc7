#include "base/hash.h"
#include "request/requestexecution.h"
#include "request/requestid.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>

using namespace flamingo;

namespace {

const ServiceName orders("orders");
constexpr std::int64_t unixNow = 1'700'000'000;

RequestId idNow(const std::string& token) { return RequestId(std::to_string(unixNow) + "-" + token); }

PublishedState stateWith(unsigned endpoints, unsigned vms)
{
    PublishedState state;
    ServiceDefinition& service = state.m_services[orders];
    service.m_name = orders;
    service.m_deadline = Milliseconds(300);
    service.m_kinds = { { "bill", Idempotence::NonIdempotent }, { "look", Idempotence::Idempotent } };
    SnapshotLayout layout { { orders, SnapshotVersion(1), LayoutId(1) }, { 1 } };
    state.m_layouts[layout.m_key] = layout;
    for (unsigned i = 0; i < endpoints; ++i) {
        EndpointRecord record;
        record.m_id = EndpointId("e" + std::to_string(i));
        record.m_service = orders;
        record.m_holdings = { { SnapshotVersion(1), LayoutId(1), ShardIndex(0) } };
        record.m_slots = 2;
        record.m_connections = 60;
        state.m_endpoints[record.m_id] = record;
    }
    for (unsigned i = 0; i < vms; ++i) {
        const VmId vm("vm" + std::to_string(i));
        state.m_vms[vm].m_id = vm;
    }
    return state;
}

/** Simulates VMs, endpoints and a claim store in virtual time, with random faults. */
struct RequestSimulation {
    struct Vm {
        VmId m_name;
        RoutingState m_routing;
        FingerprintMemory m_memory = makeFingerprintMemory(256);
        RandomEngine m_random;
        bool m_leaseValid = true;
        std::map<ExecutionId, RequestExecution> m_executions;
    };
    struct Claim {
        std::pair<std::size_t, ExecutionId> m_owner;
        std::uint64_t m_bodyHash = 0;
        std::optional<ClaimOutcome> m_outcome;
        std::string m_answer;
    };
    using Finished = std::function<void(std::size_t vm, ExecutionId id, const CallerAnswer&)>;

    explicit RequestSimulation(std::uint64_t seed, unsigned endpoints = 3)
        : m_random(seed)
    {
        for (unsigned i = 0; i < 2; ++i) {
            RoutingSettings settings;
            settings.m_vm = VmId("vm" + std::to_string(i));
            Vm& vm = m_vms.emplace_back();
            vm.m_name = settings.m_vm;
            vm.m_routing = makeRoutingState(settings);
            vm.m_random.seed(seed + i);
            applyPublishedState(vm.m_routing, std::make_shared<PublishedState>(stateWith(endpoints, 2)), m_now);
        }
    }

    std::uint64_t randomBelow(std::uint64_t bound) { return m_random() % bound; }

    void after(std::uint64_t microseconds, std::function<void()> action)
    {
        m_queue.emplace(std::pair(m_now + Microseconds(microseconds), m_sequence++), std::move(action));
    }

    void run()
    {
        while (!m_queue.empty()) {
            auto node = m_queue.extract(m_queue.begin());
            m_now = node.key().first;
            node.mapped()();
        }
    }

    void submit(std::size_t vm, const CallerRequest& request)
    {
        const ExecutionId id(++m_lastId);
        m_vms[vm].m_executions.emplace(id, makeRequestExecution(id, request));
        deliver(vm, id, RequestStarted {});
    }

    void deliver(std::size_t index, ExecutionId id, RequestEvent event)
    {
        Vm& vm = m_vms[index];
        const auto position = vm.m_executions.find(id);
        if (position == vm.m_executions.end())
            return;
        RequestContext context { vm.m_routing, vm.m_memory, vm.m_random, m_settings, vm.m_name, Incarnation(1),
            LogTime(unixNow * 1000), vm.m_leaseValid };
        RequestEffects effects = stepRequest(position->second, std::move(event), context, m_now);
        for (RequestEffect& effect : effects)
            std::visit([&](auto& one) { apply(index, id, one); }, effect);
        if (isRequestOver(position->second))
            vm.m_executions.erase(position);
    }

    void apply(std::size_t vm, ExecutionId id, OpenClaim& effect)
    {
        after(randomBelow(m_claimDelay), [=] {
            const auto [position, added] = m_claims.try_emplace(effect.m_request);
            Claim& claim = position->second;
            ClaimDecided decided;
            const bool again = !added && claim.m_outcome == ClaimOutcome::NotRun;
            if (added || again) {
                claim = Claim { { vm, id }, effect.m_bodyHash, std::nullopt, {} };
                decided.m_opened = true;
            } else if (claim.m_bodyHash != effect.m_bodyHash) {
                decided.m_result.m_code = ResultCode::RequestIdReused;
            } else if (!claim.m_outcome) {
                decided.m_result.m_code = ResultCode::StillRunning;
            } else if (claim.m_outcome == ClaimOutcome::Unknown) {
                decided.m_result.m_code = ResultCode::OutcomeUnknown;
            } else {
                decided.m_result.m_text = claim.m_answer;
            }
            after(randomBelow(m_claimDelay), [=] { deliver(vm, id, decided); });
        });
    }
    void apply(std::size_t vm, ExecutionId id, SettleClaim& effect)
    {
        Claim& claim = m_claims.at(effect.m_request);
        RC_ASSERT(claim.m_owner == std::pair(vm, id));
        RC_ASSERT(!claim.m_outcome);
        claim.m_outcome = effect.m_outcome;
        claim.m_answer = effect.m_answer;
    }
    void apply(std::size_t vm, ExecutionId id, SendCall& effect)
    {
        RC_ASSERT(m_vms[vm].m_leaseValid);
        RC_ASSERT(m_now < effect.m_call.m_deadline);
        if (effect.m_call.m_kind == "bill")
            RC_ASSERT(effect.m_call.m_dedicatedConnection);
        ++m_sends;
        runAtEndpoint(vm, id, effect.m_call);
    }
    void apply(std::size_t, ExecutionId, CancelCall&) { }
    void apply(std::size_t vm, ExecutionId id, SetTimer& effect)
    {
        const auto delay = std::chrono::duration_cast<Microseconds>(effect.m_at - m_now).count();
        // Some timers expire late, as on a VM that was frozen.
        const std::uint64_t late = randomBelow(4) == 0 ? randomBelow(50000) : 0;
        after(static_cast<std::uint64_t>(std::max<std::int64_t>(delay, 0)) + late,
            [=] { deliver(vm, id, TimerExpired {}); });
    }
    void apply(std::size_t vm, ExecutionId id, FinishRequest& effect)
    {
        m_answers.push_back(effect.m_answer);
        if (m_finished)
            m_finished(vm, id, effect.m_answer);
    }
    void apply(std::size_t vm, ExecutionId id, ReportDeath& effect)
    {
        m_reported.insert(effect.m_endpoint);
        const Fingerprint fingerprint = effect.m_suspects.front();
        after(randomBelow(20000), [=] {
            recordReportApplied(m_vms[vm].m_memory, fingerprint);
            deliver(vm, id, QuarantineDecided { m_reported.size() >= 2 });
        });
    }
    void apply(std::size_t, ExecutionId, MarkSuccess&) { }
    void apply(std::size_t vm, ExecutionId, WakeExecution& effect)
    {
        after(0, [=] { deliver(vm, effect.m_execution, CapacityFreed { effect.m_endpoint }); });
    }

    void runAtEndpoint(std::size_t vm, ExecutionId id, const EndpointCall& call)
    {
        EndpointReply reply;
        reply.m_outcome = CallOutcome::Answered;
        reply.m_status = 200;
        reply.m_request = call.m_request;
        reply.m_attempt = call.m_attempt;
        reply.m_snapshot = call.m_snapshot;
        reply.m_layout = call.m_layout;
        reply.m_shard = call.m_shard;
        reply.m_body = "{\"done\":\"" + call.m_request.value() + "\"}";
        const std::uint64_t fault = randomBelow(100) < m_faultPercent ? 1 + randomBelow(7) : 0;
        bool runs = true;
        bool silent = false;
        if (fault == 1) {
            reply.m_outcome = CallOutcome::NotSent;
            runs = false;
        } else if (fault == 2) {
            reply.m_status = 503;
            reply.m_notRun = true;
            reply.m_retryAfter = Milliseconds(randomBelow(40));
            runs = false;
        } else if (fault == 3 || call.m_body == "crash") {
            reply.m_outcome = CallOutcome::ConnectionLost;
            runs = call.m_body == "crash" || randomBelow(2) == 0;
        } else if (fault == 4) {
            reply.m_status = 500;
            runs = randomBelow(2) == 0;
        } else if (fault == 5) { // a refusal that belongs to another call
            reply.m_attempt = AttemptNumber(99);
            reply.m_status = 503;
            reply.m_notRun = true;
        } else if (fault == 6) {
            silent = true;
        }
        if (call.m_body == "crash" && runs)
            m_crashed.insert(call.m_endpoint);
        after(randomBelow(20000), [=] {
            if (runs) {
                ++m_runs[call.m_request];
                ++m_runsBy[{ vm, id }];
            }
        });
        const std::uint64_t delay = 20000 + randomBelow(randomBelow(5) == 0 ? 400000 : 5000);
        const auto left = std::chrono::duration_cast<Microseconds>(call.m_deadline - m_now).count();
        if (silent || delay > static_cast<std::uint64_t>(left)) {
            reply = EndpointReply();
            reply.m_outcome = CallOutcome::TimedOut;
            // The time-out of the client may be late, so that the deadline of the request expires first.
            after(static_cast<std::uint64_t>(left) + randomBelow(10000), [=] {
                deliver(vm, id, CallReplied { call.m_attempt, reply });
            });
        } else {
            after(delay, [=] { deliver(vm, id, CallReplied { call.m_attempt, reply }); });
        }
    }

    MonotonicTime m_now = MonotonicTime {} + std::chrono::hours(1);
    std::uint64_t m_sequence = 0;
    std::multimap<std::pair<MonotonicTime, std::uint64_t>, std::function<void()>> m_queue;
    std::mt19937_64 m_random;
    RequestSettings m_settings;
    std::deque<Vm> m_vms;
    std::map<RequestId, Claim> m_claims;
    std::uint64_t m_claimDelay = 5000; // µs, each way
    std::uint64_t m_faultPercent = 0;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_sends = 0;
    std::map<RequestId, unsigned> m_runs; // completed at endpoints
    std::map<std::pair<std::size_t, ExecutionId>, unsigned> m_runsBy;
    std::set<EndpointId> m_reported;
    std::set<EndpointId> m_crashed;
    std::vector<CallerAnswer> m_answers;
    Finished m_finished;
};

CallerRequest requestOf(const std::string& kind, const std::string& token, const std::string& body = "{}")
{
    CallerRequest request;
    request.m_id = idNow(token);
    request.m_service = orders;
    request.m_kind = kind;
    request.m_body = body;
    return request;
}

} // namespace

TEST_CASE("non-idempotent requests run at most once", "[request]")
{
    rc::prop("under random faults no request runs twice, and none that ran is answered as not run", [] {
        RequestSimulation simulation(*rc::gen::arbitrary<std::uint64_t>());
        simulation.m_faultPercent = *rc::gen::inRange(0, 100);
        simulation.m_claimDelay = *rc::gen::element(2000, 30000, 250000);
        std::map<std::pair<std::size_t, ExecutionId>, CallerAnswer> answers;
        unsigned submitted = 0;
        simulation.m_finished = [&](std::size_t vm, ExecutionId id, const CallerAnswer& answer) {
            RC_ASSERT(answers.emplace(std::pair(vm, id), answer).second);
            const bool maySendAgain = resultClass(answer.m_code) != ResultClass::Success && submitted < 60;
            if (maySendAgain && simulation.randomBelow(3) > 0) {
                ++submitted;
                simulation.after(simulation.randomBelow(100000), [&simulation, answer] {
                    simulation.submit(simulation.randomBelow(2), requestOf("bill", answer.m_id.value().substr(11)));
                });
            }
        };
        for (unsigned i = *rc::gen::inRange(1U, 15U); i > 0; --i) {
            ++submitted;
            const std::string token = "t" + std::to_string(simulation.randomBelow(8));
            simulation.after(simulation.randomBelow(400000),
                [&simulation, token] { simulation.submit(simulation.randomBelow(2), requestOf("bill", token)); });
        }
        for (unsigned i = 0; i < 6; ++i)
            simulation.after(simulation.randomBelow(600000), [&simulation] {
                simulation.m_vms[simulation.randomBelow(2)].m_leaseValid = simulation.randomBelow(2) == 0;
            });
        simulation.run();

        RC_ASSERT(answers.size() == submitted);
        for (const auto& [id, runs] : simulation.m_runs)
            RC_ASSERT(runs <= 1U);
        for (const auto& [execution, answer] : answers) {
            const unsigned runs = simulation.m_runsBy[execution];
            if (resultClass(answer.m_code) == ResultClass::NotRun)
                RC_ASSERT(runs == 0U);
            if (answer.m_code == ResultCode::Ok) {
                RC_ASSERT(simulation.m_runs[answer.m_id] == 1U);
                RC_ASSERT(answer.m_recorded == (runs == 0U));
                RC_ASSERT(answer.m_answer == "{\"done\":\"" + answer.m_id.value() + "\"}");
            }
        }
        for (const auto& [id, claim] : simulation.m_claims)
            RC_ASSERT(claim.m_outcome.has_value());
        for (const auto& vm : simulation.m_vms) {
            RC_ASSERT(vm.m_executions.empty());
            for (const EndpointStats& stats : vm.m_routing.m_endpoints)
                RC_ASSERT(stats.m_inFlight == 0U);
        }
    });

    RequestSimulation simulation(1);
    SECTION("nothing is sent if the lease ends while the claim is being opened")
    {
        simulation.after(1, [&] { simulation.m_vms[0].m_leaseValid = false; });
        simulation.submit(0, requestOf("bill", "a"));
        simulation.run();
        CHECK(simulation.m_sends == 0);
        CHECK(simulation.m_answers.at(0).m_code == ResultCode::NoLease);
        CHECK(simulation.m_claims.at(idNow("a")).m_outcome == ClaimOutcome::NotRun);
    }
    // Otherwise the claim would stay open although nothing is sent.
    SECTION("a claim that is opened after the deadline is settled as not run")
    {
        simulation.m_claimDelay = 2000000;
        simulation.submit(0, requestOf("bill", "a"));
        simulation.run();
        CHECK(simulation.m_sends == 0);
        CHECK(simulation.m_answers.at(0).m_code == ResultCode::ControlUnavailable);
        CHECK(simulation.m_claims.at(idNow("a")).m_outcome == ClaimOutcome::NotRun);
    }
    SECTION("a request id cannot be reused for another body")
    {
        simulation.submit(0, requestOf("bill", "a"));
        simulation.run();
        simulation.submit(1, requestOf("bill", "a", "{\"other\":1}"));
        simulation.submit(1, requestOf("bill", "a"));
        simulation.run();
        REQUIRE(simulation.m_answers.size() == 3);
        CHECK(std::set<ResultCode> { simulation.m_answers[1].m_code, simulation.m_answers[2].m_code }
            == std::set<ResultCode> { ResultCode::Ok, ResultCode::RequestIdReused });
        CHECK(simulation.m_runs[idNow("a")] == 1);
    }
    SECTION("a crashing request is reported and not sent again")
    {
        simulation.submit(0, requestOf("bill", "a", "crash"));
        simulation.run();
        CHECK(simulation.m_answers.at(0).m_code == ResultCode::OutcomeUnknown);
        CHECK(simulation.m_reported.size() == 1);
        CHECK(simulation.m_sends == 1);
    }
}

TEST_CASE("idempotent requests are retried", "[request]")
{
    RequestSimulation simulation(3, 8);
    SECTION("retries within the budget avoid most failures")
    {
        simulation.m_faultPercent = 30;
        for (int i = 0; i < 50; ++i)
            simulation.after(
                100000 * i, [&simulation, i] { simulation.submit(0, requestOf("look", "t" + std::to_string(i))); });
        simulation.run();
        unsigned good = 0;
        for (const CallerAnswer& answer : simulation.m_answers)
            good += answer.m_code == ResultCode::Ok ? 1 : 0;
        CHECK(simulation.m_answers.size() == 50);
        CHECK(good >= 40);
        const ExtraLoadBudget& budget = serviceStats(simulation.m_vms[0].m_routing, orders).m_budget;
        CHECK(double(budget.m_spent) <= budget.m_burst + budget.m_fraction * double(budget.m_firstAttempts));
    }
    SECTION("a crashing request is not retried on a third endpoint")
    {
        simulation.submit(0, requestOf("look", "a", "crash"));
        simulation.run();
        CHECK(simulation.m_answers.at(0).m_code == ResultCode::EndpointFailed);
        CHECK(simulation.m_crashed.size() == 2);
    }
}

TEST_CASE("request ids must be well-formed and recent", "[request]")
{
    INFO("guards against ids whose claims may already be discarded, or would be kept too long");
    Reason reason;
    const auto code = [&](const std::string& id) {
        reason = Reason();
        isRequestIdCurrent(RequestId(id), LogTime(unixNow * 1000), reason);
        return resultCodeName(reason.m_code);
    };
    CHECK(code(std::to_string(unixNow) + "-a.B_9-x") == "Ok");
    CHECK(code(std::to_string(unixNow - 86400) + "-a") == "Ok");
    CHECK(code(std::to_string(unixNow - 86401) + "-a") == "RequestIdExpired");
    CHECK(code(std::to_string(unixNow + 300) + "-a") == "Ok");
    CHECK(code(std::to_string(unixNow + 301) + "-a") == "RequestIdExpired");
    for (const char* bad : { "", "-", "-a", "17", "17-", "x-a", "17x-a", "+17-a", "-17-a", "17-a b", "17-\n",
             "99999999999999999999-a", "999999999999-a" })
        CHECK(code(bad) == "InvalidField");
    CHECK(code("17-" + std::string(65, 'a')) == "InvalidField");
}
