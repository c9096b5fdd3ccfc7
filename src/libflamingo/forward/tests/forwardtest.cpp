#include "forward/tests/forwardfixture.h"

#include <catch2/catch.hpp>

#include <map>

using namespace flamingo;

namespace {

std::string record(char first) { return std::string(1, first) + std::string(15, '.'); }

} // namespace

TEST_CASE("a request goes to one endpoint of its service", "[forward]")
{
    ForwardFixture vm(1);
    ForwardExecution execution = vm.execution(vm.m_single);
    ForwardEffects started = vm.start(execution);
    REQUIRE(started.m_sends.size() == 1);
    CHECK_FALSE(started.m_answer);

    SECTION("and its answer comes back unchanged")
    {
        EndpointReply reply = ForwardFixture::success("r1", "body");
        reply.m_fields.push_back({ "Content-Type", "text/plain" });
        const auto answer = vm.reply(execution, started.m_sends[0], reply).m_answer;
        REQUIRE(answer);
        CHECK(answer->m_kind == ForwardAnswer::Kind::Passed);
        CHECK(answer->m_status == 200);
        CHECK(answer->m_body == "body");
        CHECK(answer->m_receipts == std::vector<std::string> { "r1" });
        CHECK(answer->m_fields.size() == 1);
    }
    SECTION("guards against the answer to another request: it is dropped and another endpoint is asked")
    {
        EndpointReply stray = ForwardFixture::success("r1", "other");
        stray.m_request = RequestId("another");
        const ForwardEffects effects = vm.reply(execution, started.m_sends[0], stray);
        CHECK_FALSE(effects.m_answer);
        REQUIRE(effects.m_sends.size() == 1);
        CHECK(effects.m_sends[0].m_call.m_endpoint != started.m_sends[0].m_call.m_endpoint);
    }
    SECTION("guards against a success without a receipt, which no endpoint vouches for")
    {
        CHECK_FALSE(vm.reply(execution, started.m_sends[0], ForwardFixture::success("")).m_answer);
    }
    SECTION("a lost connection leads to the other endpoint, and two lost ones to a failure")
    {
        const ForwardEffects retry = vm.reply(execution, started.m_sends[0], ForwardFixture::lost());
        REQUIRE(retry.m_sends.size() == 1);
        const auto answer = vm.reply(execution, retry.m_sends[0], ForwardFixture::lost()).m_answer;
        REQUIRE(answer);
        CHECK(answer->m_code == ResultCode::EndpointFailed);
    }
    SECTION("guards against a held answer: at the deadline the caller is told")
    {
        const auto answer = vm.timer(execution, Milliseconds(1000)).m_answer;
        REQUIRE(answer);
        CHECK(answer->m_code == ResultCode::DeadlineExceeded);
    }
    SECTION("a reply after the answer changes nothing for the caller")
    {
        vm.timer(execution, Milliseconds(1000));
        CHECK_FALSE(vm.reply(execution, started.m_sends[0], ForwardFixture::success("late")).m_answer);
        CHECK(vm.m_state.m_routing.m_endpoints[0].m_inFlight + vm.m_state.m_routing.m_endpoints[1].m_inFlight == 0);
    }
}

TEST_CASE("a request that is not idempotent runs at most once", "[forward]")
{
    ForwardFixture vm(1);
    vm.m_single.m_idempotence = Idempotence::NonIdempotent;
    ForwardExecution execution = vm.execution(vm.m_single);
    const ForwardEffects started = vm.start(execution);
    REQUIRE(started.m_sends.size() == 1);
    CHECK(started.m_sends[0].m_call.m_freshConnection);

    SECTION("a lost connection ends it, and the answer does not say that it did not run")
    {
        const ForwardEffects effects = vm.reply(execution, started.m_sends[0], ForwardFixture::lost());
        CHECK(effects.m_sends.empty());
        REQUIRE(effects.m_answer);
        CHECK(resultClass(effects.m_answer->m_code) != ResultClass::NotRun);
    }
    SECTION("no hedge is sent while the first call is open")
    {
        CHECK(vm.timer(execution, Milliseconds(90)).m_sends.empty());
    }
    SECTION("an endpoint's refusal proves that it did not run, so that another one may be asked")
    {
        ForwardEffects effects = vm.reply(execution, started.m_sends[0], ForwardFixture::refusal());
        REQUIRE(effects.m_sends.size() == 1);
        CHECK(vm.reply(execution, effects.m_sends[0], ForwardFixture::success("r")).m_answer);
    }
}

TEST_CASE("nothing is promised that does not hold", "[forward]")
{
    ForwardFixture vm(1);

    SECTION("without endpoints the request is refused at once as not run")
    {
        vm.m_published.m_endpoints.clear();
        vm.apply();
        ForwardExecution execution = vm.execution(vm.m_single);
        const auto answer = vm.start(execution).m_answer;
        REQUIRE(answer);
        CHECK(answer->m_code == ResultCode::NoEndpoint);
        CHECK(resultClass(answer->m_code) == ResultClass::NotRun);
    }
    SECTION("guards against connecting again and again: with all endpoints out of reach it is refused soon")
    {
        ForwardExecution execution = vm.execution(vm.m_single);
        ForwardEffects effects = vm.start(execution);
        int calls = 0;
        while (!effects.m_answer && !effects.m_sends.empty() && calls < 20) {
            ++calls;
            effects = vm.reply(execution, effects.m_sends[0], EndpointReply());
        }
        REQUIRE(effects.m_answer);
        CHECK(effects.m_answer->m_code == ResultCode::NoEndpoint);
        CHECK(calls <= 4);
    }
    SECTION("draining endpoints get no calls")
    {
        for (auto& [id, endpoint] : vm.m_published.m_endpoints)
            endpoint.m_draining = true;
        vm.apply();
        ForwardExecution execution = vm.execution(vm.m_single);
        CHECK(vm.start(execution).m_sends.empty());
    }
    SECTION("a refusal after a call that may have run is no refusal")
    {
        ForwardExecution execution = vm.execution(vm.m_single);
        ForwardEffects effects = vm.start(execution);
        effects = vm.reply(execution, effects.m_sends.at(0), ForwardFixture::lost());
        while (!effects.m_answer && !effects.m_sends.empty())
            effects = vm.reply(execution, effects.m_sends[0], ForwardFixture::refusal());
        if (!effects.m_answer)
            effects = vm.timer(execution, Milliseconds(1000));
        REQUIRE(effects.m_answer);
        CHECK(resultClass(effects.m_answer->m_code) != ResultClass::NotRun);
    }
}

TEST_CASE("a fan-out merges what its shards answer", "[forward]")
{
    ForwardFixture vm(4);
    ForwardExecution execution = vm.execution(vm.m_fanOut);
    ForwardEffects started = vm.start(execution);
    REQUIRE(started.m_sends.size() == 4);
    const auto answerShard = [&](std::size_t index, const std::string& body) {
        return vm.reply(execution, started.m_sends[index], ForwardFixture::success("r" + std::to_string(index), body));
    };

    SECTION("the greatest records of all shards come first, and equal ones all count")
    {
        answerShard(0, record('a') + record('z'));
        answerShard(1, record('z'));
        answerShard(2, record('b') + "short");
        const auto answer = answerShard(3, record('c')).m_answer;
        REQUIRE(answer);
        CHECK(answer->m_body == record('z') + record('z'));
        CHECK(answer->m_receipts.size() == 4);
        CHECK(answer->m_missingShards == 0);
    }
    SECTION("shortly before the goal an answer that has the floor goes out and says what is missing")
    {
        answerShard(0, record('a'));
        CHECK_FALSE(answerShard(1, record('b')).m_answer);
        const auto answer = vm.timer(execution, Milliseconds(95)).m_answer;
        REQUIRE(answer);
        CHECK(answer->m_receipts.size() == 2);
        CHECK(answer->m_missingShards == 2);
    }
    SECTION("below the floor it waits past the goal for the next shard")
    {
        answerShard(0, record('a'));
        CHECK_FALSE(vm.timer(execution, Milliseconds(95)).m_answer);
        CHECK(answerShard(1, record('b')).m_answer);
    }
    SECTION("guards against waiting for what cannot come: it fails as soon as the floor is out of reach")
    {
        std::map<AttemptNumber, ForwardEffects::Send> open;
        for (const auto& send : started.m_sends)
            open[send.m_attempt] = send;
        std::optional<ForwardAnswer> answer;
        while (!open.empty() && !answer) {
            const auto send = open.begin()->second;
            open.erase(open.begin());
            ForwardEffects effects = vm.reply(execution, send, ForwardFixture::lost());
            for (const auto& next : effects.m_sends)
                open[next.m_attempt] = next;
            answer = effects.m_answer;
        }
        REQUIRE(answer);
        CHECK(answer->m_code == ResultCode::EndpointFailed);
    }
    SECTION("a shard's error is no part of the answer")
    {
        EndpointReply error = ForwardFixture::success("r0");
        error.m_status = 404;
        vm.reply(execution, started.m_sends[0], error);
        CHECK(execution.m_answered == 0);
    }
}

TEST_CASE("a shard that answers late is asked again elsewhere", "[forward]")
{
    ForwardFixture vm(1);
    ForwardExecution execution = vm.execution(vm.m_fanOut);
    const ForwardEffects started = vm.start(execution);
    REQUIRE(started.m_sends.size() == 1);
    const ForwardEffects hedged = vm.timer(execution, Milliseconds(31));

    SECTION("after the hedge delay, at the other endpoint and on a connection that works")
    {
        REQUIRE(hedged.m_sends.size() == 1);
        CHECK(hedged.m_sends[0].m_hedge);
        CHECK(hedged.m_sends[0].m_call.m_provenConnection);
        CHECK(hedged.m_sends[0].m_call.m_endpoint != started.m_sends[0].m_call.m_endpoint);
    }
    SECTION("but at no more endpoints than the route allows")
    {
        CHECK(vm.timer(execution, Milliseconds(31)).m_sends.empty());
    }
    SECTION("and the first answer counts, whichever call it belongs to")
    {
        CHECK(vm.reply(execution, started.m_sends[0], ForwardFixture::success("first")).m_answer);
        CHECK_FALSE(vm.reply(execution, hedged.m_sends[0], ForwardFixture::success("second")).m_answer);
    }
}

TEST_CASE("extra calls stay within the budget that all VMs share", "[forward]")
{
    ForwardFixture vm(1);
    vm.m_state.m_settings.m_extraLoadShare = 0.1;
    vm.m_state.m_settings.m_extraLoadCalls = 5.0;
    int extra = 0;
    constexpr int requests = 200;
    for (int number = 0; number < requests; ++number) {
        ForwardExecution execution = vm.execution(vm.m_single);
        ForwardEffects effects = vm.start(execution);
        REQUIRE(effects.m_sends.size() == 1);
        effects = vm.reply(execution, effects.m_sends[0], ForwardFixture::lost());
        extra += static_cast<int>(effects.m_sends.size());
        for (const auto& send : effects.m_sends)
            vm.reply(execution, send, ForwardFixture::success("r"));
        vm.m_now += Milliseconds(50);
    }
    CHECK(extra <= 5 + requests / 10);
    CHECK(extra > 0);
}
