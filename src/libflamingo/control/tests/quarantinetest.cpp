#include "control/apply.h"
#include "control/tests/commandmaker.h"

#include <catch2/catch.hpp>

using namespace flamingo;

TEST_CASE("A request that crashes endpoints is quarantined")
{
    Replica replica;
    const auto& quarantine = replica.m_state.m_published.m_quarantine;
    const auto death = [](const char* endpoint, std::uint64_t incarnation = 1) {
        return ReportDeath { EndpointId(endpoint), Incarnation(incarnation), ServiceName("verse"),
            { Fingerprint(5), Fingerprint(6) } };
    };
    replica.run(death("e1"));
    REQUIRE(quarantine.empty());

    // An endpoint may keep crashing for a reason of its own.
    SECTION("several crashes of one endpoint do not quarantine a request")
    {
        replica.run(death("e1", 2));
        REQUIRE(quarantine.empty());
    }
    SECTION("a request that succeeded is not blamed for later crashes")
    {
        replica.run(ClearSuspect { Fingerprint(5) });
        replica.run(death("e2"));
        replica.run(death("e3"));
        REQUIRE(quarantine.count(Fingerprint(5)) == 0);
        REQUIRE(quarantine.count(Fingerprint(6)) == 1);
    }
    SECTION("suspicion expires after an hour")
    {
        replica.advanceTime(quarantinePeriod + std::chrono::seconds(1));
        replica.run(death("e2"));
        REQUIRE(quarantine.empty());
    }
    SECTION("the crash of a second endpoint quarantines the request")
    {
        const CommandResult result = replica.run(death("e2"));
        REQUIRE(result.m_text == "quarantined: 0000000000000005, 0000000000000006");
        REQUIRE(quarantine.at(Fingerprint(5)).m_endpoints.size() == 2);
        REQUIRE(result.m_revision == replica.m_state.m_published.m_revision);

        SECTION("for one hour of log time")
        {
            replica.advanceTime(quarantinePeriod - std::chrono::milliseconds(1));
            REQUIRE(quarantine.size() == 2);
            replica.advanceTime(std::chrono::milliseconds(1));
            REQUIRE(quarantine.empty());
            replica.run(death("e3"));
            REQUIRE(quarantine.empty());
        }
        SECTION("until an operator lifts the quarantine")
        {
            REQUIRE(replica.runOperatorCommand("l1", LiftQuarantine { Fingerprint(5) }).m_code == ResultCode::Ok);
            REQUIRE(quarantine.size() == 1);
            replica.run(death("e4"));
            REQUIRE(quarantine.size() == 1);
        }
        SECTION("until a late success clears it")
        {
            replica.run(ClearSuspect { Fingerprint(6) });
            REQUIRE(quarantine.size() == 1);
        }
    }
    SECTION("the number of suspect records is limited")
    {
        ReportDeath many { EndpointId("e9"), Incarnation(1), ServiceName("verse"), {} };
        for (std::uint64_t index = 0; index < 3 * 4096; ++index) {
            many.m_suspects.emplace_back(100 + index);
            if (many.m_suspects.size() == 4096) {
                REQUIRE(replica.run(many).m_code == ResultCode::Ok);
                many.m_suspects.clear();
            }
        }
        REQUIRE(replica.m_state.m_suspects.size() == maxSuspects);
        REQUIRE(replica.m_state.m_suspectsByTime.size() == maxSuspects);
    }
}
