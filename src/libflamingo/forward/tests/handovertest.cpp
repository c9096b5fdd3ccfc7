#include "forward/handover.h"
#include "forward/relaywire.h"
#include "forward/tests/forwardfixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace flamingo;

namespace {

/** An entry VM among others, which its test cuts off from the endpoints. */
struct CutOffVm : ForwardFixture {
    explicit CutOffVm(int shards)
        : ForwardFixture(shards)
    {
        m_state.m_settings.m_mergePort = 7000;
        for (int number = 1; number < 5; ++number) {
            VmRecord vm;
            vm.m_id = VmId("vm" + std::to_string(number));
            vm.m_address = "10.0.0." + std::to_string(number) + ":80";
            m_published.m_vms[vm.m_id] = vm;
        }
        apply();
    }

    /** Cuts the VM off and lets the execution react, as it does when all requests are reconsidered. */
    ForwardEffects cutOff(ForwardExecution& execution)
    {
        m_state.m_reachability.m_cutOff = true;
        return handleForwardTimer(m_state, execution, m_now);
    }

    /** Lets another VM take over, once the calls without a connection have ended. */
    ForwardEffects handOver(ForwardExecution& execution) { return handleForwardTimer(m_state, execution, m_now); }

    static EndpointReply returned(std::uint32_t usedAttempts)
    {
        EndpointReply reply;
        reply.m_outcome = CallOutcome::Answered;
        reply.m_status = 502;
        reply.m_usedAttempts = usedAttempts;
        return reply;
    }

    static std::string granted(const ForwardEffects::Send& send) { return send.m_call.m_fields.front().m_value; }
};

} // namespace

TEST_CASE("attempts granted to other VMs never exceed those of the route", "[forward]")
{
    CHECK(attemptsToGrant({ 1, 0 }) == 1);
    CHECK(attemptsToGrant({ 2, 0 }) == 2); // a hedge is worth more than a second VM
    CHECK(attemptsToGrant({ 3, 0 }) == 2);
    CHECK(attemptsToGrant({ 3, 1 }) == 2);
    CHECK(attemptsToGrant({ 2, 2 }) == 0);
    CHECK(unusedAttempts(2, false, std::nullopt) == 0);
    CHECK(unusedAttempts(2, false, 1) == 1);
    CHECK(unusedAttempts(2, true, std::nullopt) == 2);
    CHECK(unusedAttempts(2, false, 7) == 0);

    rc::prop("whatever VMs do with their grants and report of it", [] {
        const auto allowed = *rc::gen::inRange<std::uint32_t>(1, 6);
        AttemptAllowance allowance { allowed, 0 };
        std::uint32_t runs = 0;
        while (attemptsLeft(allowance) > 0 && runs < 100) {
            const std::uint32_t granted = *rc::gen::arbitrary<bool>() ? 1 : attemptsToGrant(allowance);
            RC_ASSERT(granted > 0U);
            takeAttempts(allowance, granted);
            const auto ran = *rc::gen::inRange<std::uint32_t>(0, granted + 1);
            const bool reported = *rc::gen::arbitrary<bool>();
            returnAttempts(
                allowance, unusedAttempts(granted, false, reported ? std::optional<std::uint32_t>(ran) : std::nullopt));
            runs += ran;
            if (ran == 0 && reported)
                break; // would go on for ever
        }
        RC_ASSERT(runs <= allowed);
    });
}

TEST_CASE("a VM that loses its links hands a request over with the attempts that are left", "[forward]")
{
    CutOffVm vm(3);

    SECTION("a request on one endpoint")
    {
        ForwardExecution execution = vm.execution(vm.m_single);
        const ForwardEffects started = vm.start(execution);
        const ForwardEffects cut = vm.cutOff(execution);
        CHECK(cut.m_sends.empty());
        REQUIRE(cut.m_cancelUnsent == std::vector<AttemptNumber> { started.m_sends[0].m_attempt });

        SECTION("a call that may have run counts")
        {
            const ForwardEffects handedOver = vm.handOver(execution);
            REQUIRE(handedOver.m_sends.size() == 1);
            CHECK(CutOffVm::granted(handedOver.m_sends[0]) == "1");

            SECTION("and its answer is still delivered")
            {
                const auto answer = vm.reply(execution, started.m_sends[0], ForwardFixture::success("r")).m_answer;
                REQUIRE(answer);
                CHECK(answer->m_receipts == std::vector<std::string> { "r" });
            }
            SECTION("after the loss of the VM that took over, the request fails at once")
            {
                const auto answer = vm.reply(execution, handedOver.m_sends[0], ForwardFixture::lost()).m_answer;
                REQUIRE(answer);
                CHECK(answer->m_code == ResultCode::EndpointFailed);
            }
            SECTION("a VM that could not read the call has not run it, and another one is asked")
            {
                ForwardAnswer malformed;
                malformed.m_code = ResultCode::MalformedBody;
                EndpointReply reply;
                reply.m_outcome = CallOutcome::Answered;
                reply.m_status = 200;
                reply.m_body = encodeRelayAnswer(malformed).m_body;
                const ForwardEffects next = vm.reply(execution, handedOver.m_sends[0], reply);
                CHECK_FALSE(next.m_answer);
                REQUIRE(next.m_sends.size() == 1);
                CHECK(CutOffVm::granted(next.m_sends[0]) == "1");
            }
        }
        SECTION("a call that was given up before it was sent does not count")
        {
            CHECK(vm.reply(execution, started.m_sends[0], EndpointReply()).m_sends.empty());
            const ForwardEffects handedOver = vm.handOver(execution);
            REQUIRE(handedOver.m_sends.size() == 1);
            CHECK(CutOffVm::granted(handedOver.m_sends[0]) == "2");

            SECTION("and a VM that is cut off as well returns what it has not used")
            {
                const ForwardEffects next = vm.reply(execution, handedOver.m_sends[0], CutOffVm::returned(1));
                REQUIRE(next.m_sends.size() == 1);
                CHECK(CutOffVm::granted(next.m_sends[0]) == "1");
                const auto answer = vm.reply(execution, next.m_sends[0], CutOffVm::returned(1)).m_answer;
                REQUIRE(answer);
                CHECK(answer->m_code == ResultCode::EndpointFailed);
            }
        }
        SECTION("if the links are back before that, a call that is open goes on, without a timer in the past")
        {
            vm.m_state.m_reachability.m_cutOff = false;
            const ForwardEffects next = vm.handOver(execution);
            CHECK(next.m_sends.empty());
            REQUIRE(next.m_nextTimerAt);
            CHECK(*next.m_nextTimerAt > vm.m_now);
        }
        SECTION("if the links are back before that, the VM goes on itself")
        {
            vm.reply(execution, started.m_sends[0], EndpointReply());
            vm.m_state.m_reachability.m_cutOff = false;
            const ForwardEffects next = vm.handOver(execution);
            REQUIRE(next.m_sends.size() == 1);
            CHECK_FALSE(next.m_sends[0].m_toVm);
        }
    }
    SECTION("also if no budget of extra load is left, since the request has no other way")
    {
        vm.m_state.m_settings.m_extraLoadShare = 0.0;
        vm.m_state.m_settings.m_extraLoadCalls = 0.0;
        for (int request = 0; request < 3; ++request) {
            ForwardExecution execution = vm.execution(vm.m_single);
            vm.m_state.m_reachability.m_cutOff = false;
            vm.start(execution);
            vm.cutOff(execution);
            CHECK(vm.handOver(execution).m_sends.size() == 1);
        }
    }
    SECTION("a request whose attempts are used up fails at once, so that its caller can send it to another VM")
    {
        ForwardExecution execution = vm.execution(vm.m_single);
        vm.start(execution);
        REQUIRE(vm.timer(execution, Milliseconds(90)).m_sends.size() == 1);
        vm.cutOff(execution);
        const auto answer = vm.handOver(execution).m_answer;
        REQUIRE(answer);
        CHECK(answer->m_code == ResultCode::EndpointFailed);
    }
    SECTION("one that may run only once waits for its answer instead")
    {
        vm.m_single.m_idempotence = Idempotence::NonIdempotent;
        ForwardExecution execution = vm.execution(vm.m_single);
        const ForwardEffects started = vm.start(execution);
        vm.cutOff(execution);
        const ForwardEffects handedOver = vm.handOver(execution);
        CHECK(handedOver.m_sends.empty());
        REQUIRE(handedOver.m_nextTimerAt);
        CHECK(*handedOver.m_nextTimerAt > vm.m_now);
        CHECK(vm.reply(execution, started.m_sends[0], ForwardFixture::success("r")).m_answer);
    }
    SECTION("a query that can no longer reach its minimum fails at once, without a call to another VM")
    {
        vm.m_fanOut.m_minAnsweredShare = 1.0;
        vm.m_fanOut.m_maxAttempts = 1;
        ForwardExecution execution = vm.execution(vm.m_fanOut);
        const ForwardEffects started = vm.start(execution);
        vm.cutOff(execution);
        for (std::size_t call = 1; call < started.m_sends.size(); ++call)
            vm.reply(execution, started.m_sends[call], EndpointReply());
        const ForwardEffects handedOver = vm.handOver(execution);
        CHECK(handedOver.m_sends.empty());
        REQUIRE(handedOver.m_answer);
        CHECK(handedOver.m_answer->m_code == ResultCode::EndpointFailed);
    }
    SECTION("of a query, only shards without an answer are requested, and the answer contains each shard once")
    {
        vm.m_fanOut.m_minAnsweredShare = 1.0;
        ForwardExecution execution = vm.execution(vm.m_fanOut);
        const ForwardEffects started = vm.start(execution);
        vm.reply(execution, started.m_sends[0], ForwardFixture::success("r0", std::string(16, 'a')));
        vm.cutOff(execution);
        const ForwardEffects handedOver = vm.handOver(execution);
        REQUIRE(handedOver.m_sends.size() == 1);
        HttpRequest http;
        http.m_target = handedOver.m_sends[0].m_call.m_path;
        http.m_body = handedOver.m_sends[0].m_call.m_body;
        http.m_fields = handedOver.m_sends[0].m_call.m_fields;
        http.m_fields.push_back({ "X-Flamingo-Deadline-Ms", "500" });
        ForwardRequest request;
        Reason reason;
        REQUIRE(decodeRelayCall(http, request, reason));
        CHECK(request.m_route->m_shards == std::vector<ServiceName> { ServiceName("s1"), ServiceName("s2") });
        CHECK(request.m_route->m_maxAttempts == 1);
        CHECK(request.m_route->m_minAnsweredShare == 1.0);

        ForwardAnswer merged;
        merged.m_kind = ForwardAnswer::Kind::Merged;
        merged.m_receipts = { "r1", "r2" };
        merged.m_body = std::string(16, 'b');
        EndpointReply reply;
        reply.m_outcome = CallOutcome::Answered;
        reply.m_status = 200;
        reply.m_body = encodeRelayAnswer(merged).m_body;
        CHECK_FALSE(vm.reply(execution, started.m_sends[1], ForwardFixture::success("late")).m_answer);
        const auto answer = vm.reply(execution, handedOver.m_sends[0], reply).m_answer;
        REQUIRE(answer);
        CHECK(answer->m_missingShards == 0);
        CHECK(answer->m_receipts == std::vector<std::string> { "r0", "r1", "r2" });
        CHECK(answer->m_body == std::string(16, 'b') + std::string(16, 'a'));
    }
}

TEST_CASE("a VM that serves a relayed request returns it when it loses its links itself", "[forward]")
{
    CutOffVm vm(1);
    ForwardExecution execution = vm.execution(vm.m_single);
    execution.m_request.m_relayed = true;
    execution.m_request.m_attemptsGranted = true;

    SECTION("and says how many attempts it has used")
    {
        vm.start(execution);
        vm.cutOff(execution);
        const auto answer = vm.handOver(execution).m_answer;
        REQUIRE(answer);
        CHECK(answer->m_cutOff);
        CHECK(answer->m_usedAttempts == 1);
    }
    SECTION("to a VM that does not count attempts it gives a final failure, after which that one asks no other VM")
    {
        execution.m_request.m_attemptsGranted = false;
        vm.start(execution);
        vm.cutOff(execution);
        const auto answer = vm.handOver(execution).m_answer;
        REQUIRE(answer);
        CHECK_FALSE(answer->m_cutOff);
        CHECK(decodeRelayAnswer(encodeRelayAnswer(*answer).m_body));
    }
    SECTION("as not run, if it has called no endpoint")
    {
        const ForwardEffects started = vm.start(execution);
        vm.cutOff(execution);
        vm.reply(execution, started.m_sends[0], EndpointReply());
        const auto answer = vm.handOver(execution).m_answer;
        REQUIRE(answer);
        CHECK(resultClass(answer->m_code) == ResultClass::NotRun);
        CHECK(encodeRelayAnswer(*answer).m_status == 503);
    }
}
