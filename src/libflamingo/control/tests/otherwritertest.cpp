#include "control/tests/commandmaker.h"
#include "control/tests/endpointreports.h"

#include <catch2/catch.hpp>

using namespace flamingo;

namespace {

/** Returns a heartbeat of another writer: it names a service that no configuration names. */
EndpointHeartbeat foreignHeartbeat(
    const std::string& id, std::uint64_t incarnation, const std::string& address = "10.0.0.1")
{
    EndpointHeartbeat result = readyHeartbeat(id, incarnation, address);
    result.m_endpoint.m_service = ServiceName("not-configured");
    return result;
}

EndpointHeartbeat foreignDrain(const std::string& id, std::uint64_t incarnation)
{
    EndpointHeartbeat result = foreignHeartbeat(id, incarnation);
    result.m_endpoint.m_draining = true;
    return result;
}

} // namespace

// Guards against a sound endpoint that is taken out of use for good by a report that names no configured service.
TEST_CASE("a heartbeat of another writer takes no sound endpoint out of use", "[control]")
{
    EndpointReports reports;
    reports.apply(routes(1, 1)); // names the service "orders"

    SECTION("while the endpoint is registered")
    {
        reports.report(readyHeartbeat("a", 5));
        REQUIRE(reports.calledIncarnation("a") == 5);
        const auto stillCalled = [&] {
            const bool before = reports.calledIncarnation("a") == 5;
            return before && reports.report(readyHeartbeat("a", 5)) == Outcome::Acknowledged
                && reports.calledIncarnation("a") == 5;
        };

        SECTION("with its address and another id")
        {
            CHECK(reports.report(foreignHeartbeat("x", 9)) == Outcome::Acknowledged);
            CHECK(stillCalled());
        }
        SECTION("with its id and a later start")
        {
            CHECK(reports.report(foreignHeartbeat("a", 9)) == Outcome::Acknowledged);
            CHECK(stillCalled());
        }
        SECTION("with its id, its start and another address")
        {
            CHECK(reports.report(foreignHeartbeat("a", 5, "10.0.0.9")) == Outcome::Acknowledged);
            CHECK(stillCalled());
        }
        SECTION("saying that it drains")
        {
            const std::uint64_t incarnation = GENERATE(5, 9);
            CAPTURE(incarnation);
            CHECK(reports.report(foreignDrain("a", incarnation)) == Outcome::Acknowledged);
            CHECK(stillCalled());
        }
        SECTION("many times, with expiries and a restart of the leader in between")
        {
            for (std::uint64_t start = 6; start < 12; ++start) {
                reports.report(foreignHeartbeat("x", start));
                reports.report(foreignHeartbeat("a", start));
                if (start == 8)
                    reports.expireAll();
                if (start == 10)
                    reports.restart();
                reports.report(readyHeartbeat("a", 5));
                CHECK(reports.calledIncarnation("a") == 5);
            }
        }
    }
    SECTION("while the endpoint is not registered")
    {
        SECTION("with its address and another id")
        {
            reports.report(foreignHeartbeat("x", 9));
            reports.report(readyHeartbeat("a", 5));
            CHECK(reports.calledIncarnation("a") == 5);
        }
        SECTION("with its id and a start that is later or the same")
        {
            const std::uint64_t incarnation = GENERATE(5, 9);
            CAPTURE(incarnation);
            reports.report(foreignHeartbeat("a", incarnation));
            reports.report(readyHeartbeat("a", 5));
            CHECK(reports.calledIncarnation("a") == 5);
        }
    }
    SECTION("but an endpoint whose service is configured later is registered before")
    {
        reports.report(foreignHeartbeat("n", 1, "10.0.0.2"));
        CHECK(reports.isCalled("n"));
    }
}

// Guards against a registration that is refused after it has removed the endpoint with its address or its id.
TEST_CASE("an invalid heartbeat removes no endpoint", "[control]")
{
    EndpointReports reports;
    reports.apply(routes(1, 1));
    reports.report(readyHeartbeat("a", 5));
    const std::string id = GENERATE("a", "b");
    CAPTURE(id);
    EndpointHeartbeat invalid = readyHeartbeat(id, 9);
    invalid.m_endpoint.m_slots = 0;
    CHECK(reports.report(invalid) == Outcome::Refused);
    CHECK(reports.calledIncarnation("a") == 5);
}

// Guards against an endpoint that stays out of use although the one that claimed its address is gone.
TEST_CASE("an endpoint returns when another one at its address has expired", "[control]")
{
    EndpointReports reports;
    reports.apply(routes(1, 1));
    reports.report(readyHeartbeat("a", 5));
    const bool drained = GENERATE(false, true);
    CAPTURE(drained);
    if (drained)
        reports.report(drainingHeartbeat("a", 5));
    reports.report(readyHeartbeat("b", 9));
    CHECK(reports.isCalled("b"));
    reports.report(readyHeartbeat("a", 5));
    CHECK_FALSE(reports.isCalled("a"));
    reports.expireAll();
    reports.report(readyHeartbeat("a", 5));
    CHECK(reports.isCalled("a") == !drained);

    SECTION("unless it departs")
    {
        reports.report(departure("a", 5));
        reports.report(readyHeartbeat("a", 5));
        CHECK_FALSE(reports.isCalled("a"));
    }
}
