#include "routing/fingerprintmemory.h"
#include "routingfixture.h"

#include <catch2/catch.hpp>

using namespace flamingo;
using namespace flamingo::testing;

TEST_CASE("fingerprints are remembered within bounds", "[routing]")
{
    FingerprintMemory memory = makeFingerprintMemory(64);

    SECTION("guards against a canary for a request in constant use, and against growth")
    {
        noteSuccess(memory, Fingerprint(1));
        for (std::uint64_t other = 2; other < 5000; ++other) {
            noteSuccess(memory, Fingerprint(other));
            REQUIRE(isKnownGood(memory, Fingerprint(1)));
        }
        CHECK_FALSE(isKnownGood(memory, Fingerprint(17)));
        CHECK(memory.m_good.size() * FingerprintMemory::ways == 64);
    }

    SECTION("guards against a third crash while the quarantine is undecided")
    {
        const Fingerprint bad(7);
        CHECK(canaryCaution(memory, bad, at(0)) == CanaryCaution::None);
        noteDeath(memory, bad, EndpointId("a"), at(0));
        CHECK(canaryCaution(memory, bad, at(1)) == CanaryCaution::OneAtATime);
        noteDeath(memory, bad, EndpointId("b"), at(2));
        CHECK(canaryCaution(memory, bad, at(3)) == CanaryCaution::Refuse);

        SECTION("and against refusing for ever when a report is lost, or was decided")
        {
            CHECK(canaryCaution(memory, bad, at(20000)) == CanaryCaution::OneAtATime);
            noteReportApplied(memory, bad);
            noteReportApplied(memory, bad);
            CHECK(canaryCaution(memory, bad, at(4)) == CanaryCaution::OneAtATime);
        }
        SECTION("a success clears it")
        {
            CHECK(noteSuccess(memory, bad));
            CHECK(canaryCaution(memory, bad, at(4)) == CanaryCaution::None);
        }
        SECTION("and against growth by many crashing requests")
        {
            for (std::uint64_t other = 100; other < 3000; ++other)
                noteDeath(memory, Fingerprint(other), EndpointId("a"), at(5));
            CHECK(memory.m_suspects.size() == FingerprintMemory::mostSuspects);
        }
    }
}
