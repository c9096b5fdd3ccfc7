#include "control/tests/controlfixture.h"

#include <catch2/catch.hpp>

using namespace flamingo;

TEST_CASE("a control VM handles requests of its own interface", "[control]")
{
    ControlFixture fixture(3, 1);
    fixture.run(Milliseconds(1000));
    std::optional<ResultCode> code;
    std::optional<bool> confirmed;
    const auto submit = [&](ControlService& service) {
        Command command;
        command.m_body = flamingo::routes(3, 1);
        service.submit(std::move(command), [&](const CommandResult& result) { code = result.m_code; });
    };

    SECTION("the leader applies a command and answers")
    {
        submit(fixture.leader());
        fixture.run(Milliseconds(100));
        REQUIRE(code == ResultCode::Ok);
        CHECK(fixture.leader().state().m_published.m_routeHeader.m_version == ConfigurationVersion(3));
    }
    SECTION("a VM that is not the leader refuses a command")
    {
        submit(*fixture.m_controls[1].m_service);
        CHECK(code == ResultCode::NotLeader);
    }
    SECTION("the outcome of a command is unknown if the leader lost its majority")
    {
        ControlService& former = fixture.leader();
        fixture.elect(1);
        submit(former);
        fixture.run(Milliseconds(100));
        CHECK_FALSE(code);
        fixture.depose(0);
        CHECK(code == ResultCode::CommandOutcomeUnknown);
    }
    SECTION("a read is confirmed after a majority has confirmed the leader")
    {
        fixture.leader().confirmRead([&](bool value) { confirmed = value; }, fixture.m_now);
        CHECK_FALSE(confirmed);
        fixture.run(Milliseconds(500));
        CHECK(confirmed == true);
    }
    SECTION("an isolated leader does not confirm a read")
    {
        ControlService& former = fixture.leader();
        fixture.elect(1);
        former.confirmRead([&](bool value) { confirmed = value; }, fixture.m_now);
        fixture.run(Milliseconds(2000));
        CHECK(confirmed == false);
    }
}
