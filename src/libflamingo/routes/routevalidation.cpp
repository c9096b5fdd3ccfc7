#include "routes/routevalidation.h"

#include <cmath>
#include <map>
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
        return fail(reason, route, "the host must not be empty");
    if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/')
        return fail(reason, route, "the path prefix must begin and end with a slash");
    return true;
}

bool validateTargets(const Route& route, const std::set<ServiceName>& services, Reason& reason)
{
    if (route.m_targets.empty() == route.m_shards.empty())
        return fail(reason, route, "either target services or shards are required, and not both");
    double weights = 0.0;
    for (const RouteTarget& target : route.m_targets) {
        if (!(target.m_weight >= 0.0) || std::isinf(target.m_weight))
            return fail(reason, route, "a weight must be finite and not negative");
        weights += target.m_weight;
        if (services.count(target.m_service) == 0)
            return fail(reason, route, "unknown service " + target.m_service.value());
    }
    if (!route.m_targets.empty() && weights <= 0.0)
        return fail(reason, route, "the sum of the weights must be positive");
    std::set<ServiceName> shards;
    for (const ServiceName& shard : route.m_shards) {
        if (services.count(shard) == 0)
            return fail(reason, route, "unknown service " + shard.value());
        if (!shards.insert(shard).second)
            return fail(reason, route, "shard " + shard.value() + " is listed twice");
    }
    return true;
}

bool validateShards(const Route& route, Reason& reason)
{
    if (route.m_shards.empty())
        return true;
    if (route.m_idempotence != Idempotence::Idempotent)
        return fail(reason, route, "a route with shards must be idempotent");
    if (!(route.m_minAnsweredShare >= 0.0 && route.m_minAnsweredShare <= 1.0))
        return fail(reason, route, "the minimum answered share must be between 0 and 1");
    return true;
}

bool failCustomer(Reason& reason, const Customer& customer, const std::string& text)
{
    reason = Reason { ResultCode::InvalidRoutes, "customer '" + customer.m_name.value() + "': " + text };
    return false;
}

bool validateQuota(const Customer& customer, Reason& reason)
{
    const double rate = customer.m_quota.m_rate.value();
    const double burst = customer.m_quota.m_burst;
    if (!(rate >= 0.0) || std::isinf(rate))
        return failCustomer(reason, customer, "the rate must be finite and not negative");
    if (!(burst >= 0.0) || std::isinf(burst))
        return failCustomer(reason, customer, "the burst must be finite and not negative");
    return true;
}

bool validateCustomers(const std::vector<Customer>& customers, Reason& reason)
{
    std::set<CustomerName> names;
    std::map<ApiKeyDigest, const Customer*> holders;
    for (const Customer& customer : customers) {
        if (customer.m_name.value().empty() || !names.insert(customer.m_name).second)
            return failCustomer(reason, customer, "has no name or is listed twice");
        for (const ApiKeyDigest& key : customer.m_keys) {
            const auto [holder, isNew] = holders.try_emplace(key, &customer);
            if (!isNew)
                return failCustomer(
                    reason, customer, "shares an API key with customer '" + holder->second->m_name.value() + "'");
        }
        if (!validateQuota(customer, reason))
            return false;
    }
    return true;
}

} // namespace

bool validateRoutes(const RouteConfiguration& configuration, Reason& reason)
{
    std::set<ServiceName> services;
    for (const RoutedService& service : configuration.m_services) {
        if (service.m_name.value().empty() || !services.insert(service.m_name).second) {
            reason = Reason { ResultCode::InvalidRoutes,
                "service '" + service.m_name.value() + "' has no name or is listed twice" };
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
    return validateCustomers(configuration.m_customers, reason);
}

} // namespace flamingo
