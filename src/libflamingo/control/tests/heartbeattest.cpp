#include "control/apply.h"
#include "control/heartbeatdecision.h"

#include <catch2/catch.hpp>

using namespace flamingo;

namespace {

EndpointHeartbeat heartbeat(const std::string& id, std::uint64_t incarnation, const std::string& address = "10.0.0.1")
{
    EndpointHeartbeat result;
    result.m_endpoint.m_id = EndpointId(id);
    result.m_endpoint.m_service = ServiceName("orders");
    result.m_endpoint.m_address = address;
    result.m_endpoint.m_port = 80;
    result.m_endpoint.m_incarnation = Incarnation(incarnation);
    result.m_endpoint.m_routed = true;
    return result;
}

struct Directory {
    ControlState m_state;

    /** Carries out what a heartbeat leads to and returns how many commands that were. */
    std::size_t take(const HeartbeatDecision& decision)
    {
        for (const CommandBody& body : decision.m_commands) {
            std::vector<Change> changes;
            Command command;
            command.m_body = body;
            REQUIRE(apply(m_state, command, changes).m_code == ResultCode::Ok);
        }
        return decision.m_commands.size();
    }
    std::size_t beat(const EndpointHeartbeat& heartbeat) { return take(decideHeartbeat(m_state, heartbeat)); }
    std::size_t leave(const std::string& id, std::optional<std::uint64_t> incarnation = {})
    {
        EndpointDeparture departure { EndpointId(id), {} };
        if (incarnation)
            departure.m_incarnation = Incarnation(*incarnation);
        return take(decideDeparture(m_state, departure));
    }
    bool has(const std::string& id) const { return m_state.m_published.m_endpoints.count(EndpointId(id)) > 0; }
    const EndpointRecord& at(const std::string& id) const { return m_state.m_published.m_endpoints.at(EndpointId(id)); }
};

} // namespace

TEST_CASE("endpoints of routes announce themselves", "[control]")
{
    Directory directory;
    REQUIRE(directory.beat(heartbeat("a", 1)) == 1);
    REQUIRE(directory.has("a"));

    SECTION("a further heartbeat renews and writes nothing to the log")
    {
        CHECK(decideHeartbeat(directory.m_state, heartbeat("a", 1)).m_renews);
        CHECK(directory.beat(heartbeat("a", 1)) == 0);
    }
    SECTION("guards against a late heartbeat that ends a drain")
    {
        EndpointHeartbeat draining = heartbeat("a", 1);
        draining.m_endpoint.m_draining = true;
        CHECK(directory.beat(draining) == 1);
        CHECK(directory.beat(heartbeat("a", 1)) == 0);
        CHECK(directory.at("a").m_draining);
    }
    SECTION("guards against a late heartbeat that brings back an endpoint that has left")
    {
        directory.leave("a");
        CHECK_FALSE(directory.has("a"));
        CHECK(directory.beat(heartbeat("a", 1)) == 0);
        CHECK_FALSE(directory.has("a"));

        SECTION("while a new start under the same id registers")
        {
            CHECK(directory.beat(heartbeat("a", 2)) == 1);
            CHECK(directory.has("a"));
        }
    }
    SECTION("guards against the heartbeat of an earlier start after the later one has registered")
    {
        CHECK(directory.beat(heartbeat("a", 2, "10.0.0.2")) == 1);
        CHECK(directory.beat(heartbeat("a", 1)) == 0);
        CHECK(directory.at("a").m_address == "10.0.0.2");

        SECTION("and against its departure")
        {
            CHECK(directory.leave("a", 1) == 0);
            CHECK(directory.has("a"));
        }
    }
    SECTION("an address that another endpoint uses now is taken from the earlier one")
    {
        CHECK(directory.beat(heartbeat("b", 2)) == 2);
        CHECK_FALSE(directory.has("a"));
        CHECK(directory.has("b"));

        SECTION("guards against a delayed heartbeat of the one that is gone")
        {
            CHECK(directory.beat(heartbeat("a", 1)) == 0);
            CHECK(directory.has("b"));
        }
    }
}
