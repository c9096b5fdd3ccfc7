#include "forward/placement.h"
#include "forward/tests/forwardfixture.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace flamingo;

namespace {

/** Calls to a service with two endpoints, and how many of them went to the first one. */
struct CallShare {
    int m_first = 0;
    int m_total = 0;

    double value() const { return double(m_first) / double(m_total); }
};

/** Sends calls one after another. The function returns the reply of the chosen endpoint and may set its latency. */
CallShare simulateCalls(
    ForwardFixture& vm, int calls, const std::function<EndpointReply(bool first, Milliseconds&)>& answer)
{
    CallShare share;
    for (int number = 0; number < calls; ++number) {
        ForwardExecution execution = vm.execution(vm.m_single);
        const ForwardEffects effects = vm.start(execution);
        if (effects.m_sends.empty())
            continue;
        const bool first = effects.m_sends[0].m_call.m_endpoint == EndpointId("e0a");
        share.m_first += first ? 1 : 0;
        ++share.m_total;
        Milliseconds elapsed { 5 };
        EndpointReply reply = answer(first, elapsed);
        vm.m_now += elapsed;
        for (const auto& retry : vm.reply(execution, effects.m_sends[0], std::move(reply)).m_sends)
            vm.reply(execution, retry, ForwardFixture::success("r"));
        vm.m_now += Milliseconds(100);
    }
    return share;
}

} // namespace

TEST_CASE("a call is sent to the endpoint that is expected to answer first", "[forward]")
{
    ForwardFixture vm(1);

    SECTION("two equally fast endpoints share the calls")
    {
        const CallShare share
            = simulateCalls(vm, 400, [](bool, Milliseconds&) { return ForwardFixture::success("r"); });
        CHECK(share.value() > 0.35);
        CHECK(share.value() < 0.65);
    }
    SECTION("an endpoint that takes eight times as long gets few calls, but is still tried")
    {
        const CallShare share = simulateCalls(vm, 200, [](bool first, Milliseconds& elapsed) {
            elapsed = Milliseconds(first ? 40 : 5);
            return ForwardFixture::success("r");
        });
        CHECK(share.value() < 0.15);
        CHECK(share.m_first > 1); // it is still tried from time to time
    }
    SECTION("an endpoint that refuses half of its calls gets few, although it answers the others quickly")
    {
        int number = 0;
        const CallShare share = simulateCalls(vm, 200, [&number](bool first, Milliseconds&) {
            return first && ++number % 2 == 0 ? ForwardFixture::refusal() : ForwardFixture::success("r");
        });
        CHECK(share.value() < 0.25);
    }
    SECTION("an endpoint that has recovered gets its share of calls again within seconds")
    {
        simulateCalls(vm, 100, [](bool first, Milliseconds& elapsed) {
            elapsed = Milliseconds(first ? 40 : 5);
            return ForwardFixture::success("r");
        });
        vm.m_now += Milliseconds(10000);
        const CallShare share
            = simulateCalls(vm, 200, [](bool, Milliseconds&) { return ForwardFixture::success("r"); });
        CHECK(share.value() > 0.3);
    }
    SECTION("an endpoint that has stopped answering is avoided")
    {
        ForwardExecution stuck = vm.execution(vm.m_single);
        const EndpointId paused = vm.start(stuck).m_sends.at(0).m_call.m_endpoint;
        vm.m_now += Milliseconds(50);
        for (int number = 0; number < 20; ++number) {
            ForwardExecution execution = vm.execution(vm.m_single);
            const ForwardEffects effects = vm.start(execution);
            CHECK(effects.m_sends.at(0).m_call.m_endpoint != paused);
            vm.reply(execution, effects.m_sends[0], ForwardFixture::success("r"));
        }
    }
    SECTION("the only endpoint of a service is called even if its connection was just lost")
    {
        vm.m_published.m_endpoints.erase(EndpointId("e0b"));
        vm.apply();
        ForwardExecution first = vm.execution(vm.m_single);
        const ForwardEffects effects = vm.start(first);
        vm.reply(first, effects.m_sends.at(0), ForwardFixture::lost());
        ForwardExecution second = vm.execution(vm.m_single);
        CHECK(vm.start(second).m_sends.size() == 1);
    }
}
