#include "forward/placement.h"
#include "forward/tests/forwardfixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <limits>

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

// Guards against fan-outs that send most of their calls to other data centres, whose traffic is charged, because the
// endpoint nearby is a little slower for a moment. Load: each query calls every shard, replicas are in two data
// centres.
TEST_CASE("calls of a fan-out stay in the own data centre while a replica there keeps up", "[forward]")
{
    ForwardFixture vm(20);
    for (auto& [id, endpoint] : vm.m_published.m_endpoints) {
        if (id.value().back() == 'b')
            endpoint.m_dataCentre = DataCentreName("south");
    }
    vm.m_state = makeForwardState(VmId("vm"), DataCentreName("north"));
    vm.apply();
    const auto isLocal = [](const ForwardEffects::Send& send) { return send.m_call.m_endpoint.value().back() == 'a'; };
    // Plays queries, one after another, and returns the share of their first calls that stay.
    const auto play = [&](int queries, Milliseconds localLatency, Milliseconds remoteLatency) {
        CallShare share;
        for (int query = 0; query < queries; ++query) {
            ForwardExecution execution = vm.execution(vm.m_fanOut);
            const ForwardEffects effects = vm.start(execution);
            const MonotonicTime begin = vm.m_now;
            std::vector<std::pair<MonotonicTime, ForwardEffects::Send>> calls;
            const auto add = [&](const ForwardEffects::Send& send) {
                calls.emplace_back(vm.m_now + (isLocal(send) ? localLatency : remoteLatency), send);
            };
            for (const auto& send : effects.m_sends) {
                share.m_first += isLocal(send) ? 1 : 0;
                ++share.m_total;
                add(send);
            }
            for (Milliseconds elapsed { 0 }; elapsed < Milliseconds(150); ++elapsed) {
                vm.m_now = begin + elapsed;
                for (const auto& hedge : handleForwardTimer(vm.m_state, execution, vm.m_now).m_sends)
                    add(hedge);
                for (const auto& [answeredAt, send] : calls) {
                    if (answeredAt == vm.m_now)
                        vm.reply(execution, send, ForwardFixture::success(send.m_call.m_endpoint.value()));
                }
            }
        }
        return share.value();
    };

    SECTION("when both replicas are equally fast, or the local one takes half as long again")
    {
        CHECK(play(50, Milliseconds(10), Milliseconds(10)) > 0.95);
        CHECK(play(50, Milliseconds(15), Milliseconds(10)) > 0.95);
    }
    SECTION("but not when it is slower by more than a fifth of the goal")
    {
        play(20, Milliseconds(60), Milliseconds(10));
        CHECK(play(50, Milliseconds(60), Milliseconds(10)) < 0.2);
    }
    SECTION("nor when it is gone")
    {
        for (int shard = 0; shard < 20; ++shard)
            vm.m_published.m_endpoints.erase(EndpointId("e" + std::to_string(shard) + "a"));
        vm.apply();
        CHECK(play(20, Milliseconds(10), Milliseconds(10)) == 0.0);
    }
}

// Guards against an endpoint that is never called since its number of slots wraps.
TEST_CASE("an endpoint that claims an absurd number of slots is called", "[forward]")
{
    ForwardFixture vm(1);
    for (auto& [id, record] : vm.m_published.m_endpoints)
        record.m_slots = std::numeric_limits<std::uint32_t>::max();
    vm.apply();
    for (int number = 0; number < 5; ++number) {
        ForwardExecution execution = vm.execution(vm.m_single);
        CHECK(vm.start(execution).m_sends.size() == 1);
    }
}
