#include "control/apply.h"
#include "control/codec.h"
#include "control/digest.h"
#include "control/tests/commandmaker.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <cmath>
#include <limits>

using namespace flamingo;

TEST_CASE("Operators change services")
{
    Replica replica;
    ServicePatch patch;
    patch.m_coverageFloor = 0.9;

    SECTION("a created service gets the first configuration version")
    {
        const CommandResult created
            = replica.runOperatorCommand("c1", CreateService { ServiceName("verse"), patch }, 0);
        REQUIRE(created.m_code == ResultCode::Ok);
        REQUIRE(created.m_version == ConfigurationVersion(1));
        REQUIRE(replica.m_state.m_published.m_services.at(ServiceName("verse")).m_coverageFloor == 0.9);

        SECTION("a resent command is applied once and gets the first result")
        {
            replica.runOperatorCommand("c2", DropService { ServiceName("verse") });
            const CommandResult resent
                = replica.runOperatorCommand("c1", CreateService { ServiceName("verse"), patch }, 0);
            REQUIRE(resent.m_code == ResultCode::Ok);
            REQUIRE(resent.m_version == ConfigurationVersion(1));
            REQUIRE(replica.m_state.m_published.m_services.empty());
        }
        SECTION("another command with a used command id is refused")
        {
            REQUIRE(replica.runOperatorCommand("c1", DropService { ServiceName("verse") }).m_code
                == ResultCode::CommandIdReused);
            REQUIRE(replica.runOperatorCommand("c1", CreateService { ServiceName("verse"), patch }, 5).m_code
                == ResultCode::CommandIdReused);
            REQUIRE(replica.m_state.m_published.m_services.size() == 1);
        }
        SECTION("a refused command is refused again when it is resent")
        {
            const auto create = CreateService { ServiceName("verse"), patch };
            REQUIRE(replica.runOperatorCommand("c2", create).m_code == ResultCode::AlreadyExists);
            replica.runOperatorCommand("c3", DropService { ServiceName("verse") });
            REQUIRE(replica.runOperatorCommand("c2", create).m_code == ResultCode::AlreadyExists);
        }
        SECTION("stored results are limited in number and expire")
        {
            for (std::size_t index = 0; index < maxResults + 10; ++index)
                replica.runOperatorCommand("many" + std::to_string(index), DropService { ServiceName("absent") });
            REQUIRE(replica.m_state.m_results.size() == maxResults);
            replica.advanceTime(resultWindow + std::chrono::minutes(1));
            REQUIRE(replica.m_state.m_results.empty());
            REQUIRE(replica.m_state.m_resultsByNumber.empty());
        }
        SECTION("values out of range are refused")
        {
            const auto alter = [&](const ServicePatch& changed) {
                static int number = 0;
                return replica.runOperatorCommand(
                    "a" + std::to_string(++number), AlterService { ServiceName("verse"), changed });
            };
            ServicePatch bad;
            bad.m_coverageFloor = 1.01;
            REQUIRE(alter(bad).m_code == ResultCode::InvalidField);
            bad.m_coverageFloor = std::numeric_limits<double>::quiet_NaN();
            REQUIRE(alter(bad).m_code == ResultCode::InvalidField);
            bad = {};
            bad.m_deadline = Milliseconds(0);
            REQUIRE(alter(bad).m_code == ResultCode::InvalidField);
            bad = {};
            bad.m_patience = Milliseconds(1001);
            REQUIRE(alter(bad).m_text == "the patience must be between 0 ms and the deadline of 1000 ms");
            bad = {};
            bad.m_connectionsPerEndpoint = 0;
            REQUIRE(alter(bad).m_code == ResultCode::InvalidField);
            bad = {};
            bad.m_declaredKinds["query"] = Idempotence::NonIdempotent;
            REQUIRE(alter(bad).m_code == ResultCode::InvalidField);
            REQUIRE(replica.m_state.m_published.m_configurationVersion == ConfigurationVersion(1));
            REQUIRE(alter({}).m_code == ResultCode::Ok);
        }
        // Otherwise the endpoints of the dropped service would still receive requests.
        SECTION("dropping a service removes its endpoints and layouts")
        {
            REQUIRE(replica.run(registration("e1", "verse", 1, 0)).m_code == ResultCode::Ok);
            REQUIRE(replica.runOperatorCommand("c2", DropService { ServiceName("verse") }).m_code == ResultCode::Ok);
            REQUIRE(replica.m_state.m_published.m_endpoints.empty());
            REQUIRE(replica.m_state.m_published.m_layouts.empty());
            REQUIRE(replica.m_state.m_layoutUse.empty());
            REQUIRE(replica.run(registration("e1", "verse", 1, 0)).m_code == ResultCode::UnknownService);
        }
        SECTION("a drain by an operator outlasts a restart of the endpoint")
        {
            replica.run(registration("e1", "verse", 1, 0, 1));
            REQUIRE(replica.runOperatorCommand("d1", DrainEndpoint { EndpointId("e1") }).m_code == ResultCode::Ok);
            INFO("of two equal commands with the same expected version only the first one succeeds");
            REQUIRE(replica.runOperatorCommand("d2", DrainEndpoint { EndpointId("e1") }, 2).m_code == ResultCode::Ok);
            REQUIRE(replica.runOperatorCommand("d2b", DrainEndpoint { EndpointId("e1") }, 2).m_code
                == ResultCode::VersionMismatch);
            replica.run(RemoveEndpoints { { { EndpointId("e1"), Incarnation(1), false } } });
            replica.run(registration("e1", "verse", 1, 0, 2));
            REQUIRE(replica.m_state.m_published.m_operatorDrains.count(EndpointId("e1")) == 1);
            REQUIRE(replica.runOperatorCommand("d3", RestoreEndpoint { EndpointId("e1") }).m_code == ResultCode::Ok);
            REQUIRE(replica.m_state.m_published.m_operatorDrains.empty());
        }
    }
    SECTION("commands on unknown names are refused with the code for their kind of name")
    {
        REQUIRE(replica.runOperatorCommand("u1", AlterService { ServiceName("none"), {} }).m_code
            == ResultCode::UnknownService);
        REQUIRE(
            replica.runOperatorCommand("u2", DropService { ServiceName("none") }).m_code == ResultCode::UnknownService);
        REQUIRE(
            replica.runOperatorCommand("u3", DrainEndpoint { EndpointId("none") }).m_code == ResultCode::UnknownName);
        REQUIRE(replica.runOperatorCommand("", DropService { ServiceName("none") }).m_code == ResultCode::InvalidField);
    }
    SECTION("of twenty commands with the same expected version exactly one succeeds")
    {
        replica.runOperatorCommand("c0", CreateService { ServiceName("verse"), patch });
        int winners = 0;
        for (int index = 0; index < 20; ++index) {
            // A command loses the race even if it is equal to the one that won and so changes nothing.
            const CommandResult result = replica.runOperatorCommand(
                "race" + std::to_string(index), AlterService { ServiceName("verse"), patch }, 1);
            winners += result.m_code == ResultCode::Ok ? 1 : 0;
            REQUIRE(result.m_version == ConfigurationVersion(2));
            REQUIRE((result.m_code == ResultCode::Ok || result.m_code == ResultCode::VersionMismatch));
        }
        REQUIRE(winners == 1);
    }
}

TEST_CASE("Replicas are equal after the same commands")
{
    rc::prop("replicas are equal, also if one of them was restored from a snapshot in between", []() {
        const auto commands = *rc::gen::container<std::vector<Command>>(anyCommand());
        const std::size_t restoreAt = *rc::gen::inRange<std::size_t>(0, commands.size() + 1);
        ControlState first;
        ControlState second;
        std::vector<Change> firstChanges;
        std::vector<Change> secondChanges;
        Reason reason;
        for (std::size_t index = 0; index < commands.size(); ++index) {
            if (index == restoreAt) {
                auto restored = decodeControlState(encodeControlState(second), reason);
                RC_ASSERT(restored.has_value());
                second = std::move(*restored);
            }
            const LogTime before = first.m_logTime;
            const CommandResult one = apply(first, commands[index], firstChanges);
            const CommandResult two = apply(second, commands[index], secondChanges);
            RC_ASSERT(one.m_code == two.m_code);
            RC_ASSERT(one.m_text == two.m_text);
            RC_ASSERT(one.m_revision == two.m_revision);
            RC_ASSERT(one.m_claimOpened == two.m_claimOpened);
            RC_ASSERT(firstChanges.size() == secondChanges.size());
            RC_ASSERT(first.m_logTime >= before);
        }
        RC_ASSERT(encodeControlState(first) == encodeControlState(second));
        RC_ASSERT(first.m_claimBytes == second.m_claimBytes);
        ControlState rebuilt = first;
        rebuildIndexes(rebuilt);
        RC_ASSERT(rebuilt.m_published.m_recordSum == first.m_published.m_recordSum);
        RC_ASSERT(rebuilt.m_claimBytes == first.m_claimBytes);
        RC_ASSERT(rebuilt.m_openClaims == first.m_openClaims);
        RC_ASSERT(rebuilt.m_suspectsByTime == first.m_suspectsByTime);
        RC_ASSERT(rebuilt.m_layoutUse.size() == first.m_layoutUse.size());
    });
}

TEST_CASE("Entry VMs are admitted and depart")
{
    Replica replica;
    REQUIRE(replica.run(admission("vm1")).m_code == ResultCode::Ok);
    const Revision admitted = replica.m_state.m_published.m_vms.at(VmId("vm1")).m_admittedIn;
    REQUIRE(admitted == replica.m_state.m_published.m_revision);

    SECTION("a repeated admission changes nothing")
    {
        replica.run(admission("vm1"));
        REQUIRE(replica.m_state.m_published.m_revision == admitted);
    }
    // The VM may be frozen and still hold its connections, so its share must not go to other VMs at once.
    SECTION("a departed VM is removed only after its retention time")
    {
        const RemoveVm removal { VmId("vm1"), Incarnation(1) };
        REQUIRE(replica.run(removal).m_code == ResultCode::NotReady);
        replica.run(DepartVm { VmId("vm1"), Incarnation(1) });
        replica.advanceTime(std::chrono::seconds(59));
        REQUIRE(replica.run(removal).m_code == ResultCode::NotReady);
        replica.advanceTime(std::chrono::seconds(1));
        REQUIRE(replica.run(removal).m_code == ResultCode::Ok);
        REQUIRE(replica.m_state.m_published.m_vms.empty());
    }
    SECTION("a departure of an earlier incarnation does not affect the current one")
    {
        replica.run(admission("vm1", 2));
        replica.run(DepartVm { VmId("vm1"), Incarnation(1) });
        REQUIRE_FALSE(replica.m_state.m_published.m_vms.at(VmId("vm1")).m_departed);
    }
}
