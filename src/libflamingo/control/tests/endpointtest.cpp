#include "control/apply.h"
#include "control/tests/commandmaker.h"

#include <catch2/catch.hpp>

using namespace flamingo;

TEST_CASE("Endpoints register, drain and leave")
{
    Replica replica;
    replica.runOperatorCommand("c1", CreateService { ServiceName("verse"), {} });
    const auto& published = replica.m_state.m_published;
    REQUIRE(replica.run(registration("e1", "verse", 1, 0)).m_code == ResultCode::Ok);
    REQUIRE(replica.run(registration("e2", "verse", 1, 1)).m_code == ResultCode::Ok);
    REQUIRE(published.m_layouts.size() == 1);
    REQUIRE(published.m_endpoints.at(EndpointId("e2")).m_registeredIn == published.m_revision);

    SECTION("a repeated registration changes nothing")
    {
        const Revision before = published.m_revision;
        REQUIRE(replica.run(registration("e1", "verse", 1, 0)).m_code == ResultCode::Ok);
        REQUIRE(published.m_revision == before);
    }
    // Otherwise coverage would be computed with two total weights for one layout.
    SECTION("other shard weights for a recorded layout are refused")
    {
        RegisterEndpoint other = registration("e3", "verse", 1, 0);
        other.m_layouts[0].m_shardWeights = { 1, 4 };
        REQUIRE(replica.run(other).m_code == ResultCode::LayoutConflict);
        REQUIRE(published.m_endpoints.size() == 2);
    }
    SECTION("an invalid registration is refused and changes nothing")
    {
        REQUIRE(replica.run(registration("e3", "none", 1, 0)).m_code == ResultCode::UnknownService);
        REQUIRE(replica.run(registration("e3", "verse", 1, 2)).m_code == ResultCode::InvalidField);
        RegisterEndpoint bad = registration("e3", "verse", 2, 0);
        bad.m_layouts.clear();
        REQUIRE(replica.run(bad).m_code == ResultCode::InvalidField);
        bad = registration("e3", "verse", 2, 0);
        bad.m_layouts[0].m_shardWeights = { 1, 0 };
        REQUIRE(replica.run(bad).m_code == ResultCode::InvalidField);
        bad = registration("e3", "verse", 2, 0);
        bad.m_endpoint.m_port = 0;
        REQUIRE(replica.run(bad).m_code == ResultCode::InvalidField);
        REQUIRE(published.m_endpoints.size() == 2);
        REQUIRE(published.m_layouts.size() == 1);
    }
    // Otherwise lost shards would no longer count in the total weight, so that the reported coverage would be too high.
    SECTION("the layout of lost shards is kept")
    {
        const auto lost = RemoveEndpoints { { { EndpointId("e1"), Incarnation(1), true },
            { EndpointId("e2"), Incarnation(1), true } } };
        REQUIRE(replica.run(lost).m_text == "2 endpoints removed");
        REQUIRE(published.m_endpoints.empty());
        REQUIRE(published.m_layouts.size() == 1);

        SECTION("until a newer snapshot is complete")
        {
            replica.run(registration("e1", "verse", 2, 0));
            REQUIRE(published.m_layouts.size() == 2);
            replica.run(registration("e2", "verse", 2, 1));
            REQUIRE(published.m_layouts.size() == 1);
            REQUIRE(published.m_layouts.begin()->first.m_version == SnapshotVersion(2));
        }
        SECTION("even if an older snapshot is complete")
        {
            replica.run(registration("e3", "verse", 5, 0));
            replica.run(registration("e1", "verse", 1, 0));
            replica.run(registration("e2", "verse", 1, 1));
            replica.run(RemoveEndpoints { { { EndpointId("e3"), Incarnation(1), true } } });
            REQUIRE(published.m_layouts.size() == 2);
        }
    }
    SECTION("the number of layouts without holders is limited if no snapshot is complete")
    {
        for (std::uint64_t version = 2; version < 200; ++version)
            replica.run(registration("e1", "verse", version, 0));
        REQUIRE(published.m_layouts.size() <= maxUnheldLayouts + 2);
    }
    SECTION("a delayed registration does not bring back an endpoint that left")
    {
        replica.run(DrainOwnEndpoint { EndpointId("e1"), Incarnation(1) });
        REQUIRE(published.m_endpoints.at(EndpointId("e1")).m_draining);
        replica.run(registration("e1", "verse", 1, 0));
        REQUIRE(published.m_endpoints.at(EndpointId("e1")).m_draining);
        replica.run(RemoveEndpoints { { { EndpointId("e1"), Incarnation(1), false } } });
        REQUIRE(replica.run(registration("e1", "verse", 1, 0)).m_code == ResultCode::InvalidField);
        REQUIRE(published.m_endpoints.count(EndpointId("e1")) == 0);
        REQUIRE(replica.run(registration("e1", "verse", 1, 0, 2)).m_code == ResultCode::Ok);
        replica.advanceTime(leftEndpointRetention + std::chrono::seconds(1));
        REQUIRE(replica.m_state.m_leftEndpoints.empty());
    }
    SECTION("an endpoint that was removed because its renewals stopped may register again")
    {
        replica.run(RemoveEndpoints { { { EndpointId("e1"), Incarnation(1), true } } });
        REQUIRE(replica.run(registration("e1", "verse", 1, 0)).m_code == ResultCode::Ok);
    }
    SECTION("the expiry of an earlier incarnation does not remove the current one")
    {
        replica.run(registration("e1", "verse", 1, 0, 2));
        replica.run(RemoveEndpoints { { { EndpointId("e1"), Incarnation(1), true } } });
        REQUIRE(published.m_endpoints.count(EndpointId("e1")) == 1);
    }
}
