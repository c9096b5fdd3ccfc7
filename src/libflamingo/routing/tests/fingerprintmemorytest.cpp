#include "routing/fingerprintmemory.h"
#include "routingfixture.h"

#include <catch2/catch.hpp>

using namespace flamingo;
using namespace flamingo::testing;

TEST_CASE("FingerprintMemory keeps a bounded number of fingerprints", "[routing]")
{
    FingerprintMemory memory = makeFingerprintMemory(64);

    // Otherwise a request in constant use would need a canary call again.
    SECTION("a fingerprint in constant use stays cached, and the cache does not grow")
    {
        recordSuccess(memory, Fingerprint(1));
        for (std::uint64_t other = 2; other < 5000; ++other) {
            recordSuccess(memory, Fingerprint(other));
            REQUIRE(isKnownGood(memory, Fingerprint(1)));
        }
        CHECK_FALSE(isKnownGood(memory, Fingerprint(17)));
        CHECK(memory.m_succeeded.size() * FingerprintMemory::ways == 64);
    }

    // Otherwise the request could crash a third endpoint meanwhile.
    SECTION("after two crashes a request is refused until the quarantine is decided")
    {
        const Fingerprint bad(7);
        CHECK(canaryRestriction(memory, bad, at(0)) == CanaryRestriction::None);
        recordCrash(memory, bad, EndpointId("a"), at(0));
        CHECK(canaryRestriction(memory, bad, at(1)) == CanaryRestriction::OneAtATime);
        recordCrash(memory, bad, EndpointId("b"), at(2));
        CHECK(canaryRestriction(memory, bad, at(3)) == CanaryRestriction::Refuse);

        SECTION("the refusal ends when the reports are applied or considered lost")
        {
            CHECK(canaryRestriction(memory, bad, at(20000)) == CanaryRestriction::OneAtATime);
            recordReportApplied(memory, bad);
            recordReportApplied(memory, bad);
            CHECK(canaryRestriction(memory, bad, at(4)) == CanaryRestriction::OneAtATime);
        }
        SECTION("a success clears the suspect")
        {
            CHECK(recordSuccess(memory, bad));
            CHECK(canaryRestriction(memory, bad, at(4)) == CanaryRestriction::None);
        }
        SECTION("many crashing requests do not grow the memory beyond its limit")
        {
            for (std::uint64_t other = 100; other < 3000; ++other)
                recordCrash(memory, Fingerprint(other), EndpointId("a"), at(5));
            CHECK(memory.m_suspects.size() == FingerprintMemory::maxSuspects);
        }
    }
}
