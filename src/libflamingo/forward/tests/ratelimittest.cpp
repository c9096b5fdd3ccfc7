#include "forward/tests/ratelimitedtier.h"

#include <catch2/catch.hpp>

using namespace flamingo;

namespace {

constexpr std::uint64_t seeds = 12;

/** Plays the load with several seeds and checks what limited endpoints get and that refusals are immediate and true. */
template <typename CheckAnswers> void playAll(RateLimitedTier::Load load, CheckAnswers checkAnswers)
{
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        CAPTURE(seed, load.m_vms, load.m_limit, load.m_requestsPerSecond);
        load.m_seed = seed;
        RateLimitedTier tier(load);
        tier.play();
        CHECK(double(tier.peakArrivals()) <= tier.toleratedArrivals());
        const RateLimitedTier::Answers limited
            = tier.answersBetween(tier.limitStart() + RateLimitedTier::stableTime, tier.limitEnd());
        // A request may wait for a busy endpoint, whose next call another request then takes.
        CHECK(limited.m_longestHold <= RateLimitedTier::goal / 4);
        CHECK(limited.m_falseRefusals == 0);
        checkAnswers(tier, limited);
    }
}

} // namespace

TEST_CASE("an endpoint that names a rate limit gets no more than it from all VMs together", "[forward]")
{
    RateLimitedTier::Load load;

    SECTION("all endpoints of a service take half of its requests, and the callers get what they take")
    {
        SECTION("one VM")
        {
            load.m_vms = 1;
            load.m_requestsPerSecond = 20.0;
            load.m_limit = 2.5;
        }
        SECTION("15 VMs")
        {
            load.m_vms = 15;
            load.m_requestsPerSecond = 40.0;
            load.m_limit = 5.0;
        }
        SECTION("15 VMs, a high rate")
        {
            load.m_vms = 15;
            load.m_requestsPerSecond = 400.0;
            load.m_limit = 50.0;
            load.m_workTime = Milliseconds(20);
        }
        playAll(load, [](const RateLimitedTier&, const RateLimitedTier::Answers& answers) {
            CHECK(answers.servedShare() >= 0.4);
        });
    }
    SECTION("many VMs, of which each may send only a call every half minute")
    {
        load.m_vms = 102;
        load.m_requestsPerSecond = 22.5;
        SECTION("the endpoints take half of the requests") { load.m_limit = 2.8; }
        SECTION("the endpoints take a fifth of the requests") { load.m_limit = 1.1; }
        SECTION("the requests rise to the triple amount while limits are in force")
        {
            load.m_limit = 5.6;
            load.m_burstFactor = 3.0;
        }
        playAll(load,
            [](const RateLimitedTier&, const RateLimitedTier::Answers& answers) { CHECK(answers.m_failed == 0); });
    }
    SECTION("retries and hedges count, when endpoints fail a fifth of the calls")
    {
        load.m_vms = 15;
        load.m_requestsPerSecond = 40.0;
        load.m_limit = 5.0;
        load.m_failedShare = 0.2;
        playAll(load, [](const RateLimitedTier&, const RateLimitedTier::Answers& answers) {
            CHECK(answers.servedShare() >= 0.3);
        });
    }
    SECTION("callers notice nothing while another endpoint of the service takes the rest")
    {
        load.m_vms = 15;
        load.m_endpoints = 2;
        load.m_limitedEndpoints = 1;
        load.m_requestsPerSecond = 30.0;
        load.m_limit = 7.5;
        load.m_workTime = Milliseconds(20);
        playAll(load, [](const RateLimitedTier&, const RateLimitedTier::Answers& answers) {
            CHECK(answers.m_refused == 0);
            CHECK(answers.m_failed == 0);
        });
    }
    SECTION("after the limits have ended, callers are served as before")
    {
        load.m_vms = 15;
        load.m_requestsPerSecond = 40.0;
        load.m_limit = 5.0;
        playAll(load, [](const RateLimitedTier& tier, const RateLimitedTier::Answers&) {
            const auto later = tier.answersBetween(tier.limitEnd() + std::chrono::seconds(4), tier.end());
            CHECK(later.servedShare() >= 0.99);
        });
    }
}
