#include "control/applycontext.h"
#include "control/digest.h"
#include "routes/routevalidation.h"

#include <map>
#include <set>

namespace flamingo::detail {

namespace {

// Records changes only for records that differ, so that a configuration with one new route adds one route to the delta.
template <typename Erased, typename Key, typename Record>
void replaceRecords(ApplyContext& context, const std::map<Key, Record>& current, std::map<Key, const Record*> wanted)
{
    std::vector<Key> obsolete;
    for (const auto& [key, record] : current) {
        if (wanted.count(key) == 0)
            obsolete.push_back(key);
    }
    for (const Key& key : obsolete)
        context.change(Erased { key });
    for (const auto& [key, record] : wanted) {
        const auto earlier = current.find(key);
        if (earlier == current.end() || recordHash(earlier->second) != recordHash(*record))
            context.change(*record);
    }
}

} // namespace

CommandResult applyBody(ApplyContext& context, const ReplaceRoutes& command)
{
    const PublishedState& published = context.m_state.m_published;
    const RouteConfiguration& configuration = command.m_configuration;
    if (configuration.m_header.m_version <= published.m_routeHeader.m_version)
        return success(
            "version " + std::to_string(published.m_routeHeader.m_version.value()) + " is already the current version");
    Reason reason;
    if (!validateRoutes(configuration, reason))
        return refusal(reason.m_code, reason.m_text);
    std::map<RouteKey, const Route*> routes;
    for (const Route& route : configuration.m_routes)
        routes[route.m_key] = &route;
    std::map<ServiceName, const RoutedService*> services;
    for (const RoutedService& service : configuration.m_services)
        services[service.m_name] = &service;
    std::map<CustomerName, const Customer*> customers;
    for (const Customer& customer : configuration.m_customers)
        customers[customer.m_name] = &customer;
    replaceRecords<ErasedCustomer>(context, published.m_customers, std::move(customers));
    replaceRecords<ErasedRoute>(context, published.m_routes, std::move(routes));
    replaceRecords<ErasedRoutedService>(context, published.m_routedServices, std::move(services));
    context.change(configuration.m_header);
    context.m_state.m_routesDocument = command.m_document;
    return success();
}

CommandResult applyBody(ApplyContext& context, const SetEvacuation& command)
{
    if (!isValidName(command.m_dataCentre.value()))
        return refusal(ResultCode::InvalidField, "the name of a data centre must have 1 to 128 characters");
    const std::set<DataCentreName>& evacuated = context.m_state.m_published.m_evacuated;
    if ((evacuated.count(command.m_dataCentre) > 0) != command.m_evacuated)
        context.change(EvacuationChange { command.m_dataCentre, command.m_evacuated });
    return success();
}

} // namespace flamingo::detail
