#include "routes/routevalidation.h"

#include <cmath>
#include <set>

namespace flamingo {

namespace {

bool fail(Reason& reason, const Route& route, const std::string& text)
{
    reason = Reason { ResultCode::InvalidRoutes, "route " + route.m_name + ": " + text };
    return false;
}

bool validateKey(const Route& route, Reason& reason)
{
    const std::string& prefix = route.m_key.m_pathPrefix;
    if (route.m_key.m_host.empty())
        return fail(reason, route, "a host is needed");
    if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/')
        return fail(reason, route, "a path prefix begins and ends with a slash");
    return true;
}

bool validateTargets(const Route& route, const std::set<ServiceName>& services, Reason& reason)
{
    if (route.m_targets.empty() == route.m_shards.empty())
        return fail(reason, route, "either services or shards are needed");
    double weights = 0.0;
    for (const RouteTarget& target : route.m_targets) {
        if (!(target.m_weight >= 0.0) || std::isinf(target.m_weight))
            return fail(reason, route, "a weight is a finite number that is not negative");
        weights += target.m_weight;
        if (services.count(target.m_service) == 0)
            return fail(reason, route, "unknown service " + target.m_service.value());
    }
    if (!route.m_targets.empty() && weights <= 0.0)
        return fail(reason, route, "the weights add up to 0");
    std::set<ServiceName> shards;
    for (const ServiceName& shard : route.m_shards) {
        if (services.count(shard) == 0)
            return fail(reason, route, "unknown service " + shard.value());
        if (!shards.insert(shard).second)
            return fail(reason, route, "shard " + shard.value() + " is named twice");
    }
    return true;
}

bool validateShards(const Route& route, Reason& reason)
{
    if (route.m_shards.empty())
        return true;
    if (route.m_idempotence != Idempotence::Idempotent)
        return fail(reason, route, "requests to shards must be idempotent");
    if (!(route.m_minAnsweredShare >= 0.0 && route.m_minAnsweredShare <= 1.0))
        return fail(reason, route, "the floor lies between 0 and 1");
    return true;
}

} // namespace

bool validateRoutes(const RouteConfiguration& configuration, Reason& reason)
{
    std::set<ServiceName> services;
    for (const RoutedService& service : configuration.m_services) {
        if (service.m_name.value().empty() || !services.insert(service.m_name).second) {
            reason = Reason { ResultCode::InvalidRoutes,
                "service '" + service.m_name.value() + "' has no name or is named twice" };
            return false;
        }
    }
    std::set<RouteKey> keys;
    for (const Route& route : configuration.m_routes) {
        if (!validateKey(route, reason) || !validateTargets(route, services, reason) || !validateShards(route, reason))
            return false;
        if (route.m_timeout <= Milliseconds(0))
            return fail(reason, route, "the timeout must be positive");
        if (!keys.insert(route.m_key).second)
            return fail(reason, route, "another route has the same host and path prefix");
    }
    return true;
}

} // namespace flamingo
