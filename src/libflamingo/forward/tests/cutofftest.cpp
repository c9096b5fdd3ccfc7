#include "forward/tests/cutofftier.h"

#include <catch2/catch.hpp>

using namespace flamingo;

namespace {

constexpr std::uint64_t seeds = 6;
// Time in which a cut is noticed and requests find another way.
constexpr Milliseconds detectionTime { 4000 };
constexpr Milliseconds regainTime { 1000 };
// Failed first tries that are tolerated: 1 in 50.
constexpr double minServedShare = 0.98;

template <typename CheckTier> void playAll(CutOffTier::Load load, CheckTier checkTier)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed);
        load.m_seed = seed;
        CutOffTier tier(load);
        tier.play();
        CHECK_FALSE(tier.anyFalseAlarm());
        for (const bool atCutVms : { true, false })
            CHECK(tier.answers(atCutVms, tier.cutStart(), tier.end()).m_falseRefusals == 0);
        checkTier(tier);
    }
}

} // namespace

TEST_CASE("callers of a VM that cannot reach any endpoint are served through other VMs", "[forward]")
{
    CutOffTier::Load load;

    SECTION("whatever the cut does to connections, and whoever is cut off")
    {
        SECTION("most VMs, connections hang") { }
        SECTION("most VMs, connections are refused") { load.m_cut = CutOffTier::Cut::Refuse; }
        SECTION("all VMs of a data centre") { load.m_cutDataCentre = true; }
        SECTION("most VMs, a query over 20 shards") { load.m_shards = 20; }
        SECTION("a query over 20 shards, connections are refused")
        {
            load.m_shards = 20;
            load.m_cut = CutOffTier::Cut::Refuse;
        }
        SECTION("requests that may run only once") { load.m_idempotent = false; }
        SECTION("VMs with a request every two seconds") { load.m_requestsPerSecond = 7.5; }
        playAll(load, [&load](const CutOffTier& tier) {
            const auto cut = tier.answers(true, tier.cutStart() + detectionTime, tier.cutEnd());
            CHECK(cut.servedShare() >= minServedShare);
            // VMs that are not cut off do not pay for the others.
            CHECK(tier.answers(false, tier.cutStart(), tier.cutEnd()).servedShare() >= minServedShare);
            CHECK(tier.answers(true, tier.cutEnd() + regainTime, tier.end()).servedShare() >= minServedShare);
            if (!load.m_idempotent)
                CHECK(tier.mostRunsOfOneRequest() <= 1);
        });
    }
    SECTION("if all VMs are cut off, requests are refused at once as not run")
    {
        load.m_cutVms = load.m_vms;
        playAll(load, [](const CutOffTier& tier) {
            const auto answers = tier.answers(true, tier.cutStart() + detectionTime, tier.cutEnd() - regainTime);
            CHECK(answers.m_served == 0);
            CHECK(answers.m_longestRefusal <= CutOffTier::goal / 4);
        });
    }
}

TEST_CASE("a request runs on no more endpoints than its route allows, whichever VMs work on it", "[forward]")
{
    CutOffTier::Load load;
    load.m_cutFor = Milliseconds(1000);
    load.m_cutEvery = Milliseconds(2000);
    load.m_workTime = Milliseconds(360);

    SECTION("requests that run long when the links are lost") { }
    SECTION("the connections are reset") { load.m_cut = CutOffTier::Cut::Refuse; }
    SECTION("the VM that serves a relayed request is cut off as well") { load.m_cutStagger = Milliseconds(400); }
    SECTION("a route with a single attempt")
    {
        load.m_maxAttempts = 1;
        load.m_cutStagger = Milliseconds(400);
    }
    SECTION("three attempts, and most VMs are cut off one after the other")
    {
        load.m_maxAttempts = 3;
        load.m_cutVms = 14;
        load.m_cutStagger = Milliseconds(300);
    }
    SECTION("a query over 20 shards")
    {
        load.m_shards = 20;
        load.m_cutStagger = Milliseconds(400);
    }
    SECTION("a query over 20 shards, the connections are reset")
    {
        load.m_shards = 20;
        load.m_cut = CutOffTier::Cut::Refuse;
    }
    playAll(load, [&load](const CutOffTier& tier) {
        CHECK(tier.mostRunsOfOneService() <= static_cast<int>(load.m_maxAttempts));
        CHECK(tier.longestAnswer() <= CutOffTier::timeout);
    });
}
