#include "control/apply.h"
#include "control/applychange.h"
#include "control/digest.h"
#include "control/tests/commandmaker.h"

#include <catch2/catch.hpp>

using namespace flamingo;

namespace {

struct RoutesReplica {
    ControlState m_state;
    std::vector<Change> m_changes;

    CommandResult put(int version, int count)
    {
        Command command;
        command.m_body = flamingo::routes(version, count);
        return apply(m_state, command, m_changes);
    }
    std::uint64_t version() const { return m_state.m_published.m_routeHeader.m_version.value(); }
};

} // namespace

TEST_CASE("operators replace the routes as a whole", "[control]")
{
    RoutesReplica replica;
    REQUIRE(replica.put(5, 3).m_code == ResultCode::Ok);
    REQUIRE(replica.version() == 5);
    REQUIRE(replica.m_state.m_published.m_routes.size() == 3);

    SECTION("a higher version replaces the routes and removes missing ones")
    {
        replica.put(6, 1);
        CHECK(replica.m_state.m_published.m_routes.size() == 1);
        CHECK(replica.m_state.m_routesDocument == "version 6");
    }
    // A configuration may arrive again after a later one.
    SECTION("a configuration that is not newer succeeds and changes nothing")
    {
        const Revision before = replica.m_state.m_published.m_revision;
        CHECK(replica.put(4, 1).m_code == ResultCode::Ok);
        CHECK(replica.put(5, 1).m_code == ResultCode::Ok); // other content under the same version
        CHECK(replica.m_state.m_published.m_revision == before);
        CHECK(replica.m_state.m_published.m_routes.size() == 3);
        CHECK(replica.m_state.m_routesDocument == "version 5");
    }
    SECTION("an invalid configuration is refused and changes nothing")
    {
        Command command;
        ReplaceRoutes invalid = flamingo::routes(9, 1);
        invalid.m_configuration.m_services.clear();
        command.m_body = invalid;
        CHECK(apply(replica.m_state, command, replica.m_changes).m_code == ResultCode::InvalidRoutes);
        CHECK(replica.version() == 5);
    }
    // Otherwise each new configuration would be sent to the VMs as a full copy.
    SECTION("only routes that differ are recorded as changes")
    {
        ReplaceRoutes next = flamingo::routes(5, 3);
        next.m_configuration.m_header.m_version = ConfigurationVersion(6);
        next.m_configuration.m_routes[1].m_timeout = Milliseconds(1);
        Command command;
        command.m_body = next;
        apply(replica.m_state, command, replica.m_changes);
        CHECK(replica.m_changes.size() == 2); // the route and the version
    }
    SECTION("the record sum updated by changes equals the sum computed from all records")
    {
        replica.put(7, 2);
        CHECK(replica.m_state.m_published.m_recordSum == computeRecordSum(replica.m_state.m_published));
    }
}
