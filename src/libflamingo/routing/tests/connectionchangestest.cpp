#include "routing/connectionchanges.h"

#include <catch2/catch.hpp>

using namespace flamingo;

namespace {

bool isVmChange(const Change& change) { return std::holds_alternative<ErasedVm>(change); }

} // namespace

// Guards against connections to endpoints that are gone, and against a look at all endpoints for each change of one.
TEST_CASE("A new state concerns the connections of some endpoints")
{
    RoutingTable table;
    table.m_positions[EndpointId("a")] = EndpointIndex(0);
    table.m_positions[EndpointId("b")] = EndpointIndex(1);
    const std::set<EndpointId> connected { EndpointId("a"), EndpointId("gone") };
    EndpointRecord record;
    record.m_id = EndpointId("b");

    SECTION("all of them after a full copy")
    {
        const ConnectionChanges changes = connectionChanges(table, connected, nullptr, isVmChange);
        CHECK(changes.m_present.size() == 2);
        CHECK(changes.m_gone == std::vector<EndpointId> { EndpointId("gone") });
    }
    SECTION("those that the changes name")
    {
        const std::vector<Change> list { record, ErasedEndpoint { EndpointId("gone") } };
        const ConnectionChanges changes = connectionChanges(table, connected, &list, isVmChange);
        CHECK(changes.m_present == std::vector<EndpointIndex> { EndpointIndex(1) });
        CHECK(changes.m_gone == std::vector<EndpointId> { EndpointId("gone") });
    }
    SECTION("all of them if a change concerns all")
    {
        const std::vector<Change> list { record, ErasedVm { VmId("vm") } };
        CHECK(connectionChanges(table, connected, &list, isVmChange).m_present.size() == 2);
    }
}
