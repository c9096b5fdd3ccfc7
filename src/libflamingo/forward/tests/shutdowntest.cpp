#include "forward/shutdownplan.h"
#include "forward/tests/forwardfixture.h"

#include <catch2/catch.hpp>

using namespace flamingo;

TEST_CASE("a planned stop leaves every request time for its answer", "[forward]")
{
    const MonotonicTime start { std::chrono::hours(1) };
    const ShutdownPlan plan = makeShutdownPlan(start, Milliseconds(6000));
    const Milliseconds longTimeout { 10000 };
    const Milliseconds shortTimeout { 600 };

    SECTION("early in the grace all requests are served")
    {
        CHECK(acceptsRequest(plan, longTimeout, start));
        CHECK(acceptsRequest(plan, longTimeout, start + Milliseconds(2900)));
    }
    SECTION("later only those that end in time")
    {
        CHECK_FALSE(acceptsRequest(plan, longTimeout, start + Milliseconds(3100)));
        CHECK(acceptsRequest(plan, shortTimeout, start + Milliseconds(3100)));
        CHECK_FALSE(acceptsRequest(plan, shortTimeout, start + Milliseconds(5000)));
    }
    SECTION("all are answered before the process ends, and it ends before it would be killed")
    {
        CHECK(plan.m_answerBy < plan.m_endAt);
        CHECK(plan.m_endAt < start + Milliseconds(6000));
        ForwardFixture vm(1);
        vm.m_state.m_answerAllBy = vm.m_now + Milliseconds(300);
        ForwardExecution execution = vm.execution(vm.m_single);
        vm.start(execution);
        const auto answer = vm.timer(execution, Milliseconds(300)).m_answer;
        REQUIRE(answer);
        CHECK(answer->m_code == ResultCode::DeadlineExceeded);
    }
    SECTION("a stop without a grace period answers at once")
    {
        const ShutdownPlan atOnce = makeShutdownPlan(start, Milliseconds(0));
        CHECK(atOnce.m_answerBy == start);
        CHECK(atOnce.m_endAt == start);
    }
}
