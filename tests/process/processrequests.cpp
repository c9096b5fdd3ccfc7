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

// Guards against a second execution of a non-idempotent request, and against the answer "not run" for one that was
// executed, when an entry VM, the control leader or an endpoint is killed while the request is under way.
TEST_CASE("non-idempotent requests are executed at most once while processes are killed")
{
    Tier tier(vms);
    RequestLoad::createOrdersService(tier, endpoints);

    RequestLoad load(tier);
    const auto end = std::chrono::steady_clock::now() + loadTime;
    for (int round = 0; std::chrono::steady_clock::now() < end; ++round) {
        std::this_thread::sleep_for(700ms);
        const int leader = tier.leader(5);
        // Number of the VM to kill, or 0 to kill an endpoint process.
        const int killedVm = round % 3 == 0 ? 4 : round % 3 == 1 ? leader : 0;
        if (killedVm > 0)
            tier.vm(killedVm).kill();
        else
            tier.stub(round / 3 % endpoints).kill();
        std::this_thread::sleep_for(700ms);
        if (killedVm > 0)
            tier.startVm(killedVm);
    }
    load.stop();
    for (int vm = 1; vm <= vms; ++vm)
        Tier::waitFor("all VMs to be serving", [&] { return tier.isServing(vm); });
    // With no call in flight, each id must get a final outcome, and one that succeeded must keep its recorded answer.
    const std::vector<std::string> unresolved = load.resendUntilFinal(vms);
    RequestCheckResult result = load.checkExecutions();
    CHECK(result.m_executedRepeatedly == 0);
    CHECK(result.m_executedThoughRefused == 0);
    CHECK(unresolved.empty());
    CHECK(result.m_lostOutcomes == 0);
    CHECK(result.m_differingAnswers == 0);
    CHECK(result.m_answersByCode[0] > 100);
}
