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

/** VMs, endpoints and a claim store with random faults in virtual time. */
struct OrderSite {
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

    explicit OrderSite(std::uint64_t seed, unsigned endpoints = 3)
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

    std::uint64_t below(std::uint64_t bound) { return m_random() % bound; }

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
        pass(vm, id, RequestStarted {});
    }

    void pass(std::size_t index, ExecutionId id, RequestEvent event)
    {
        Vm& vm = m_vms[index];
        const auto position = vm.m_executions.find(id);
        if (position == vm.m_executions.end())
            return;
        RequestContext context { vm.m_routing, vm.m_memory, vm.m_random, m_settings, vm.m_name, Incarnation(1),
            LogTime(unixNow * 1000), vm.m_leaseValid };
        RequestEffects effects = stepRequest(position->second, std::move(event), context, m_now);
        for (RequestEffect& effect : effects)
            std::visit([&](auto& one) { carryOut(index, id, one); }, effect);
        if (isRequestOver(position->second))
            vm.m_executions.erase(position);
    }

    void carryOut(std::size_t vm, ExecutionId id, OpenClaim& effect)
    {
        after(below(m_claimDelay), [=] {
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
            after(below(m_claimDelay), [=] { pass(vm, id, decided); });
        });
    }
    void carryOut(std::size_t vm, ExecutionId id, SettleClaim& effect)
    {
        Claim& claim = m_claims.at(effect.m_request);
        RC_ASSERT(claim.m_owner == std::pair(vm, id));
        RC_ASSERT(!claim.m_outcome);
        claim.m_outcome = effect.m_outcome;
        claim.m_answer = effect.m_answer;
    }
    void carryOut(std::size_t vm, ExecutionId id, SendCall& effect)
    {
        RC_ASSERT(m_vms[vm].m_leaseValid);
        RC_ASSERT(m_now < effect.m_call.m_deadline);
        if (effect.m_call.m_kind == "bill")
            RC_ASSERT(effect.m_call.m_freshConnection);
        ++m_sends;
        runAtEndpoint(vm, id, effect.m_call);
    }
    void carryOut(std::size_t, ExecutionId, CancelCall&) { }
    void carryOut(std::size_t vm, ExecutionId id, SetTimer& effect)
    {
        const auto delay = std::chrono::duration_cast<Microseconds>(effect.m_at - m_now).count();
        // Timers are late at times, as on a VM that was frozen.
        const std::uint64_t late = below(4) == 0 ? below(50000) : 0;
        after(static_cast<std::uint64_t>(std::max<std::int64_t>(delay, 0)) + late,
            [=] { pass(vm, id, TimerExpired {}); });
    }
    void carryOut(std::size_t vm, ExecutionId id, FinishRequest& effect)
    {
        m_answers.push_back(effect.m_answer);
        if (m_finished)
            m_finished(vm, id, effect.m_answer);
    }
    void carryOut(std::size_t vm, ExecutionId id, ReportDeath& effect)
    {
        m_reported.insert(effect.m_endpoint);
        const Fingerprint fingerprint = effect.m_suspects.front();
        after(below(20000), [=] {
            noteReportApplied(m_vms[vm].m_memory, fingerprint);
            pass(vm, id, QuarantineDecided { m_reported.size() >= 2 });
        });
    }
    void carryOut(std::size_t, ExecutionId, MarkSuccess&) { }
    void carryOut(std::size_t vm, ExecutionId, WakeExecution& effect)
    {
        after(0, [=] { pass(vm, effect.m_execution, CapacityFreed { effect.m_endpoint }); });
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
        const std::uint64_t fault = below(100) < m_faultPercent ? 1 + below(7) : 0;
        bool runs = true;
        bool silent = false;
        if (fault == 1) {
            reply.m_outcome = CallOutcome::NotSent;
            runs = false;
        } else if (fault == 2) {
            reply.m_status = 503;
            reply.m_notRun = true;
            reply.m_retryAfter = Milliseconds(below(40));
            runs = false;
        } else if (fault == 3 || call.m_body == "crash") {
            reply.m_outcome = CallOutcome::ConnectionLost;
            runs = call.m_body == "crash" || below(2) == 0;
        } else if (fault == 4) {
            reply.m_status = 500;
            runs = below(2) == 0;
        } else if (fault == 5) { // a refusal of another call
            reply.m_attempt = AttemptNumber(99);
            reply.m_status = 503;
            reply.m_notRun = true;
        } else if (fault == 6) {
            silent = true;
        }
        if (call.m_body == "crash" && runs)
            m_crashed.insert(call.m_endpoint);
        after(below(20000), [=] {
            if (runs) {
                ++m_runs[call.m_request];
                ++m_runsBy[{ vm, id }];
            }
        });
        const std::uint64_t delay = 20000 + below(below(5) == 0 ? 400000 : 5000);
        const auto left = std::chrono::duration_cast<Microseconds>(call.m_deadline - m_now).count();
        if (silent || delay > static_cast<std::uint64_t>(left)) {
            reply = EndpointReply();
            reply.m_outcome = CallOutcome::TimedOut;
            // The client may be late itself, so that the deadline of the request comes first.
            after(static_cast<std::uint64_t>(left) + below(10000), [=] {
                pass(vm, id, CallReplied { call.m_attempt, reply });
            });
        } else {
            after(delay, [=] { pass(vm, id, CallReplied { call.m_attempt, reply }); });
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
    std::map<RequestId, unsigned> m_runs; // by endpoints
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

TEST_CASE("requests that are not idempotent", "[request]")
{
    rc::prop("guards against double runs, and against \"not run\" said of a run, under random faults", [] {
        OrderSite site(*rc::gen::arbitrary<std::uint64_t>());
        site.m_faultPercent = *rc::gen::inRange(0, 100);
        site.m_claimDelay = *rc::gen::element(2000, 30000, 250000);
        std::map<std::pair<std::size_t, ExecutionId>, CallerAnswer> answers;
        unsigned submitted = 0;
        site.m_finished = [&](std::size_t vm, ExecutionId id, const CallerAnswer& answer) {
            RC_ASSERT(answers.emplace(std::pair(vm, id), answer).second);
            const bool maySendAgain = resultClass(answer.m_code) != ResultClass::Success && submitted < 60;
            if (maySendAgain && site.below(3) > 0) {
                ++submitted;
                site.after(site.below(100000),
                    [&site, answer] { site.submit(site.below(2), requestOf("bill", answer.m_id.value().substr(11))); });
            }
        };
        for (unsigned i = *rc::gen::inRange(1U, 15U); i > 0; --i) {
            ++submitted;
            const std::string token = "t" + std::to_string(site.below(8));
            site.after(site.below(400000), [&site, token] { site.submit(site.below(2), requestOf("bill", token)); });
        }
        for (unsigned i = 0; i < 6; ++i)
            site.after(site.below(600000), [&site] { site.m_vms[site.below(2)].m_leaseValid = site.below(2) == 0; });
        site.run();

        RC_ASSERT(answers.size() == submitted);
        for (const auto& [id, runs] : site.m_runs)
            RC_ASSERT(runs <= 1U);
        for (const auto& [execution, answer] : answers) {
            const unsigned runs = site.m_runsBy[execution];
            if (resultClass(answer.m_code) == ResultClass::NotRun)
                RC_ASSERT(runs == 0U);
            if (answer.m_code == ResultCode::Ok) {
                RC_ASSERT(site.m_runs[answer.m_id] == 1U);
                RC_ASSERT(answer.m_recorded == (runs == 0U));
                RC_ASSERT(answer.m_answer == "{\"done\":\"" + answer.m_id.value() + "\"}");
            }
        }
        for (const auto& [id, claim] : site.m_claims)
            RC_ASSERT(claim.m_outcome.has_value());
        for (const auto& vm : site.m_vms) {
            RC_ASSERT(vm.m_executions.empty());
            for (const EndpointStats& stats : vm.m_routing.m_endpoints)
                RC_ASSERT(stats.m_inFlight == 0U);
        }
    });

    OrderSite site(1);
    SECTION("guards against a send after the lease ended while the claim was opened")
    {
        site.after(1, [&] { site.m_vms[0].m_leaseValid = false; });
        site.submit(0, requestOf("bill", "a"));
        site.run();
        CHECK(site.m_sends == 0);
        CHECK(site.m_answers.at(0).m_code == ResultCode::NoLease);
        CHECK(site.m_claims.at(idNow("a")).m_outcome == ClaimOutcome::NotRun);
    }
    SECTION("guards against a claim that stays open when it is granted after the deadline")
    {
        site.m_claimDelay = 2000000;
        site.submit(0, requestOf("bill", "a"));
        site.run();
        CHECK(site.m_sends == 0);
        CHECK(site.m_answers.at(0).m_code == ResultCode::ControlUnavailable);
        CHECK(site.m_claims.at(idNow("a")).m_outcome == ClaimOutcome::NotRun);
    }
    SECTION("guards against another body run under the same id")
    {
        site.submit(0, requestOf("bill", "a"));
        site.run();
        site.submit(1, requestOf("bill", "a", "{\"other\":1}"));
        site.submit(1, requestOf("bill", "a"));
        site.run();
        REQUIRE(site.m_answers.size() == 3);
        CHECK(std::set<ResultCode> { site.m_answers[1].m_code, site.m_answers[2].m_code }
            == std::set<ResultCode> { ResultCode::Ok, ResultCode::RequestIdReused });
        CHECK(site.m_runs[idNow("a")] == 1);
    }
    SECTION("guards against a crash that is not reported, and a second run of it")
    {
        site.submit(0, requestOf("bill", "a", "crash"));
        site.run();
        CHECK(site.m_answers.at(0).m_code == ResultCode::OutcomeUnknown);
        CHECK(site.m_reported.size() == 1);
        CHECK(site.m_sends == 1);
    }
}

TEST_CASE("idempotent requests are retried", "[request]")
{
    OrderSite site(3, 8);
    SECTION("guards against an answer lost to faults that a retry avoids")
    {
        site.m_faultPercent = 30;
        for (int i = 0; i < 50; ++i)
            site.after(100000 * i, [&site, i] { site.submit(0, requestOf("look", "t" + std::to_string(i))); });
        site.run();
        unsigned good = 0;
        for (const CallerAnswer& answer : site.m_answers)
            good += answer.m_code == ResultCode::Ok ? 1 : 0;
        CHECK(site.m_answers.size() == 50);
        CHECK(good >= 40);
        const ExtraLoadBudget& budget = serviceStats(site.m_vms[0].m_routing, orders).m_budget;
        CHECK(double(budget.m_spent) <= budget.m_burst + budget.m_fraction * double(budget.m_firstAttempts));
    }
    SECTION("guards against a crashing request that is retried on a third endpoint")
    {
        site.submit(0, requestOf("look", "a", "crash"));
        site.run();
        CHECK(site.m_answers.at(0).m_code == ResultCode::EndpointFailed);
        CHECK(site.m_crashed.size() == 2);
    }
}

TEST_CASE("request ids carry a time", "[request]")
{
    INFO("guards against ids whose claims may be discarded already, or are kept too long");
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
