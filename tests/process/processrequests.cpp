#include "process/requestload.h"

#include <catch2/catch.hpp>

#include <thread>

using namespace flamingo::test;
using namespace std::chrono_literals;

namespace {

constexpr int vms = 5;
constexpr int endpoints = 4;
constexpr auto loadTime = 14s;

} // namespace

// Guards against a second run of a non-idempotent request, and against "not run" for one that ran.
TEST_CASE("non-idempotent requests run at most once while processes are killed")
{
    Tier tier(vms);
    RequestLoad::createOrders(tier, endpoints);

    RequestLoad load(tier);
    const auto end = std::chrono::steady_clock::now() + loadTime;
    for (int round = 0; std::chrono::steady_clock::now() < end; ++round) {
        std::this_thread::sleep_for(700ms);
        const int leader = tier.leader(5);
        const int victim = round % 3 == 0 ? 4 : round % 3 == 1 ? leader : 0;
        if (victim > 0)
            tier.vm(victim).kill();
        else
            tier.stub(round / 3 % endpoints).kill();
        std::this_thread::sleep_for(700ms);
        if (victim > 0)
            tier.startVm(victim);
    }
    load.stop();
    for (int vm = 1; vm <= vms; ++vm)
        Tier::waitFor("all VMs to serve", [&] { return tier.isServing(vm); });
    // With nothing in flight, each id has a final outcome, and one that succeeded keeps its recorded answer.
    const std::vector<std::string> stuck = load.sendFinally(vms);
    RequestVerdict verdict = load.verdict();
    CHECK(verdict.m_repeated == 0);
    CHECK(verdict.m_ranThoughRefused == 0);
    CHECK(stuck.empty());
    CHECK(verdict.m_notRecorded == 0);
    CHECK(verdict.m_differing == 0);
    CHECK(verdict.m_codes[0] > 100);
}
