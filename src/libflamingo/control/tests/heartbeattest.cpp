#include "control/apply.h"
#include "control/heartbeatdecision.h"
#include "control/tests/endpointreports.h"

#include <catch2/catch.hpp>

using namespace flamingo;

namespace {

struct EndpointDirectory {
    ControlState m_state;

    /** Applies the commands of a decision and returns their number. */
    std::size_t applyDecision(const HeartbeatDecision& decision)
    {
        for (const CommandBody& body : decision.m_commands) {
            std::vector<Change> changes;
            Command command;
            command.m_body = body;
            REQUIRE(apply(m_state, command, changes).m_code == ResultCode::Ok);
        }
        return decision.m_commands.size();
    }
    std::size_t receive(const EndpointHeartbeat& heartbeat)
    {
        return applyDecision(decideHeartbeat(m_state, heartbeat));
    }
    std::size_t leave(const std::string& id, std::optional<std::uint64_t> incarnation = {})
    {
        EndpointDeparture departure { EndpointId(id), {} };
        if (incarnation)
            departure.m_incarnation = Incarnation(*incarnation);
        return applyDecision(decideDeparture(m_state, departure));
    }
    bool has(const std::string& id) const { return m_state.m_published.m_endpoints.count(EndpointId(id)) > 0; }
    const EndpointRecord& at(const std::string& id) const { return m_state.m_published.m_endpoints.at(EndpointId(id)); }
};

} // namespace

TEST_CASE("endpoints of routed services register by heartbeats", "[control]")
{
    EndpointDirectory directory;
    REQUIRE(directory.receive(readyHeartbeat("a", 1)) == 1);
    REQUIRE(directory.has("a"));

    SECTION("a further heartbeat renews the endpoint without a command")
    {
        CHECK(decideHeartbeat(directory.m_state, readyHeartbeat("a", 1)).m_renews);
        CHECK(directory.receive(readyHeartbeat("a", 1)) == 0);
    }
    SECTION("a late heartbeat does not end a drain")
    {
        EndpointHeartbeat draining = readyHeartbeat("a", 1);
        draining.m_endpoint.m_draining = true;
        CHECK(directory.receive(draining) == 1);
        CHECK(directory.receive(readyHeartbeat("a", 1)) == 0);
        CHECK(directory.at("a").m_draining);
    }
    SECTION("a late heartbeat does not bring back an endpoint that has left")
    {
        directory.leave("a");
        CHECK_FALSE(directory.has("a"));
        CHECK(directory.receive(readyHeartbeat("a", 1)) == 0);
        CHECK_FALSE(directory.has("a"));

        SECTION("but a later incarnation registers")
        {
            CHECK(directory.receive(readyHeartbeat("a", 2)) == 1);
            CHECK(directory.has("a"));
        }
    }
    SECTION("a heartbeat of an earlier incarnation does not replace the later one")
    {
        CHECK(directory.receive(readyHeartbeat("a", 2, "10.0.0.2")) == 2); // records that the earlier one has left
        CHECK(directory.receive(readyHeartbeat("a", 1)) == 0);
        CHECK(directory.at("a").m_address == "10.0.0.2");

        SECTION("nor does its departure remove the later one")
        {
            CHECK(directory.leave("a", 1) == 0);
            CHECK(directory.has("a"));
        }
    }
    SECTION("a new endpoint with the address of an earlier one replaces it")
    {
        CHECK(directory.receive(readyHeartbeat("b", 2)) == 2);
        CHECK_FALSE(directory.has("a"));
        CHECK(directory.has("b"));

        SECTION("and a delayed heartbeat of the replaced endpoint has no effect")
        {
            CHECK(directory.receive(readyHeartbeat("a", 1)) == 0);
            CHECK(directory.has("b"));
        }
    }
}

// Guards against a departure that is acknowledged although it cannot be kept, and against records without limit.
TEST_CASE("departures beyond the limit on records are refused", "[control]")
{
    EndpointDirectory directory;
    directory.receive(readyHeartbeat("a", 1));
    for (std::size_t number = 0; number < maxLeftEndpoints; ++number)
        directory.m_state.m_leftEndpoints[EndpointId("left" + std::to_string(number))].m_incarnation = Incarnation(1);

    SECTION("if their endpoint is not registered")
    {
        const HeartbeatDecision decision = decideDeparture(directory.m_state, { EndpointId("b"), Incarnation(1) });
        CHECK(decision.m_refusal == ResultCode::Overloaded);
        CHECK(decision.m_commands.empty());
    }
    SECTION("but not that of a registered endpoint")
    {
        CHECK(directory.leave("a", 1) == 1);
        CHECK_FALSE(directory.has("a"));
    }
    SECTION("nor one that replaces the record of an earlier incarnation")
    {
        CHECK(directory.leave("left0", 2) == 1);
        CHECK(directory.receive(readyHeartbeat("left0", 2, "10.0.0.2")) == 0);
    }
}

// Guards against records of departures that take unlimited memory, and against forged records under reserved ids.
TEST_CASE("a departure with an id that no endpoint can have is refused", "[control]")
{
    const ControlState state;
    const std::string id = GENERATE(std::string(), std::string(129, 'x'),
        std::string("\x1f"
                    "a"));
    const HeartbeatDecision decision = decideDeparture(state, { EndpointId(id), Incarnation(1) });
    CHECK(decision.m_refusal == ResultCode::InvalidField);
    CHECK(decision.m_commands.empty());
}
