#include "routes/routetable.h"
#include "routes/routevalidation.h"

#include <catch2/catch.hpp>

using namespace flamingo;

namespace {

Route route(const std::string& host, const std::string& prefix, const std::string& service)
{
    Route result;
    result.m_key = { host, prefix };
    result.m_name = host + prefix;
    result.m_targets.push_back({ ServiceName(service), 1 });
    return result;
}

RouteConfiguration validConfiguration()
{
    RouteConfiguration configuration;
    configuration.m_services.push_back({ ServiceName("orders"), "/health", 10 });
    configuration.m_services.push_back({ ServiceName("verses"), "/health", 10 });
    configuration.m_routes.push_back(route("shop.example", "/orders/", "orders"));
    Route fanOut = route("shop.example", "/verses/", "verses");
    fanOut.m_targets.clear();
    fanOut.m_shards = { ServiceName("orders"), ServiceName("verses") };
    fanOut.m_idempotence = Idempotence::Idempotent;
    configuration.m_routes.push_back(fanOut);
    return configuration;
}

} // namespace

TEST_CASE("a request is matched to its route", "[routes]")
{
    RouteTable table;
    insertRoute(table, route("shop.example", "/orders/", "orders"));
    insertRoute(table, route("shop.example", "/orders/proofs/", "proofs"));
    insertRoute(table, route("other.example", "/", "all"));

    SECTION("by the longest prefix, so that an outer route does not hide a nested one")
    {
        CHECK(findRoute(table, "shop.example", "/orders/proofs/7")->m_name == "shop.example/orders/proofs/");
        CHECK(findRoute(table, "shop.example", "/orders/7")->m_name == "shop.example/orders/");
    }
    SECTION("by whole path elements, so that a prefix does not match part of a longer name")
    {
        CHECK(findRoute(table, "shop.example", "/ordersextra/7") == nullptr);
        CHECK(findRoute(table, "shop.example", "/orders") == nullptr);
    }
    SECTION("ignoring the port of the host and the query of the target")
    {
        CHECK(
            findRoute(table, "shop.example:8104", "/orders/7?next=/orders/proofs/")->m_name == "shop.example/orders/");
        CHECK(findRoute(table, "other.example", "/")->m_name == "other.example/");
    }
    SECTION("until the route is removed")
    {
        eraseRoute(table, { "shop.example", "/orders/proofs/" });
        eraseRoute(table, { "shop.example", "/unknown/" });
        CHECK(findRoute(table, "shop.example", "/orders/proofs/7")->m_name == "shop.example/orders/");
        eraseRoute(table, { "other.example", "/" });
        CHECK(findRoute(table, "other.example", "/") == nullptr);
    }
}

TEST_CASE("an invalid route configuration is refused", "[routes]")
{
    RouteConfiguration configuration = validConfiguration();
    Reason reason;
    REQUIRE(validateRoutes(configuration, reason));

    SECTION("an unknown service is refused")
    {
        configuration.m_routes[0].m_targets[0].m_service = ServiceName("missing");
        CHECK_FALSE(validateRoutes(configuration, reason));
        CHECK(reason.m_code == ResultCode::InvalidRoutes);
    }
    SECTION("an unknown shard is refused")
    {
        configuration.m_routes[1].m_shards.emplace_back("missing");
        CHECK_FALSE(validateRoutes(configuration, reason));
    }
    SECTION("two routes with the same host and path prefix are refused")
    {
        configuration.m_routes.push_back(configuration.m_routes[0]);
        CHECK_FALSE(validateRoutes(configuration, reason));
    }
    SECTION("weights that add up to 0 are refused")
    {
        configuration.m_routes[0].m_targets[0].m_weight = 0;
        CHECK_FALSE(validateRoutes(configuration, reason));
    }
    SECTION("a timeout of 0 is refused")
    {
        configuration.m_routes[0].m_timeout = Milliseconds(0);
        CHECK_FALSE(validateRoutes(configuration, reason));
    }
    SECTION("a route with shards that is not idempotent is refused, since hedges repeat requests")
    {
        configuration.m_routes[1].m_idempotence = Idempotence::NonIdempotent;
        CHECK_FALSE(validateRoutes(configuration, reason));
    }
}
