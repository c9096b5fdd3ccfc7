#include "routing/connectionchanges.h"

#include <catch2/catch.hpp>

using namespace flamingo;

namespace {

bool isVmChange(const Change& change) { return std::holds_alternative<ErasedVm>(change); }

} // namespace

// Guards against connections to removed endpoints, and against a scan of all endpoints for each change of one.
TEST_CASE("connection changes list the endpoints that a new state affects")
{
    RoutingTable table;
    table.m_positions[EndpointId("a")] = EndpointIndex(0);
    table.m_positions[EndpointId("b")] = EndpointIndex(1);
    const std::set<EndpointId> connected { EndpointId("a"), EndpointId("gone") };
    EndpointRecord record;
    record.m_id = EndpointId("b");

    SECTION("a full copy affects all endpoints")
    {
        const ConnectionChanges changes = connectionChanges(table, connected, nullptr, isVmChange);
        CHECK(changes.m_present.size() == 2);
        CHECK(changes.m_removed == std::vector<EndpointId> { EndpointId("gone") });
    }
    SECTION("a delta affects the endpoints that its changes name")
    {
        const std::vector<Change> list { record, ErasedEndpoint { EndpointId("gone") } };
        const ConnectionChanges changes = connectionChanges(table, connected, &list, isVmChange);
        CHECK(changes.m_present == std::vector<EndpointIndex> { EndpointIndex(1) });
        CHECK(changes.m_removed == std::vector<EndpointId> { EndpointId("gone") });
    }
    SECTION("a change that concerns all endpoints affects all of them")
    {
        const std::vector<Change> list { record, ErasedVm { VmId("vm") } };
        CHECK(connectionChanges(table, connected, &list, isVmChange).m_present.size() == 2);
    }
}
