#include "control/applycontext.h"

#include <cmath>

namespace flamingo::detail {

namespace {

constexpr Milliseconds maxDeadline { 600000 };
constexpr std::uint32_t maxConnections = 65535;
constexpr std::uint32_t maxSlots = 65535;
constexpr std::size_t maxKinds = 64;

template <typename T> void overwrite(T& field, const std::optional<T>& value)
{
    if (value)
        field = *value;
}

ServiceDefinition patched(ServiceDefinition service, const ServicePatch& patch)
{
    overwrite(service.m_snapshotPolicy, patch.m_snapshotPolicy);
    overwrite(service.m_preference, patch.m_preference);
    overwrite(service.m_coverageFloor, patch.m_coverageFloor);
    overwrite(service.m_deadline, patch.m_deadline);
    overwrite(service.m_patience, patch.m_patience);
    overwrite(service.m_extraLoadBudget, patch.m_extraLoadBudget);
    overwrite(service.m_connectionsPerEndpoint, patch.m_connectionsPerEndpoint);
    overwrite(service.m_slotsPerEndpoint, patch.m_slotsPerEndpoint);
    overwrite(service.m_canary, patch.m_canary);
    for (const auto& [kind, idempotence] : patch.m_declaredKinds)
        service.m_kinds[kind] = idempotence;
    return service;
}

// Returns false for NaN, for which each comparison is false.
bool isFraction(double value) { return value >= 0.0 && value <= 1.0; }

CommandResult invalid(const std::string& text) { return refusal(ResultCode::InvalidField, text); }

CommandResult checkKinds(const ServiceDefinition& service)
{
    if (service.m_kinds.size() > maxKinds)
        return invalid("a service declares at most " + std::to_string(maxKinds) + " request kinds");
    for (const auto& [kind, idempotence] : service.m_kinds) {
        if (!isValidName(kind))
            return invalid("a request kind must have 1 to 128 characters and no control characters");
        if (kind == "query" && idempotence == Idempotence::NonIdempotent)
            return invalid("the kind query is always idempotent");
    }
    return success();
}

CommandResult checkService(const ServiceDefinition& service)
{
    if (!isValidName(service.m_name.value()))
        return invalid("a service name must have 1 to 128 characters and no control characters");
    if (!isFraction(service.m_coverageFloor))
        return invalid("the coverage floor must be between 0 and 1");
    if (!isFraction(service.m_extraLoadBudget))
        return invalid("the extra load budget must be between 0 and 1");
    if (service.m_deadline < Milliseconds(1) || service.m_deadline > maxDeadline)
        return invalid("the deadline must be between 1 and " + std::to_string(maxDeadline.count()) + " ms");
    if (service.m_patience < Milliseconds(0) || service.m_patience > service.m_deadline)
        return invalid("the patience must be between 0 ms and the deadline of "
            + std::to_string(service.m_deadline.count()) + " ms");
    if (service.m_connectionsPerEndpoint < 1 || service.m_connectionsPerEndpoint > maxConnections)
        return invalid("connections per endpoint must be between 1 and " + std::to_string(maxConnections));
    if (service.m_slotsPerEndpoint < 1 || service.m_slotsPerEndpoint > maxSlots)
        return invalid("slots per endpoint must be between 1 and " + std::to_string(maxSlots));
    return checkKinds(service);
}

CommandResult putService(ApplyContext& context, ServiceDefinition service)
{
    CommandResult result = checkService(service);
    if (result.m_code != ResultCode::Ok)
        return result;
    service.m_changedIn = context.nextVersion();
    context.change(std::move(service));
    return result;
}

CommandResult unknownService(const ServiceName& service)
{
    return refusal(ResultCode::UnknownService, "there is no service " + service.value());
}

CommandResult setOperatorDrain(ApplyContext& context, const EndpointId& endpoint, bool drained)
{
    const PublishedState& published = context.m_state.m_published;
    const bool isDrained = published.m_operatorDrains.count(endpoint) > 0;
    if (!isDrained && published.m_endpoints.count(endpoint) == 0)
        return refusal(ResultCode::UnknownName, "there is no endpoint " + endpoint.value());
    if (isDrained != drained)
        context.change(OperatorDrainChange { endpoint, drained });
    return success();
}

} // namespace

CommandResult applyBody(ApplyContext& context, const CreateService& command)
{
    if (context.m_state.m_published.m_services.count(command.m_service) > 0)
        return refusal(ResultCode::AlreadyExists, "service " + command.m_service.value() + " already exists");
    ServiceDefinition service;
    service.m_name = command.m_service;
    // A deadline shorter than the default patience must be accepted when no patience is given.
    if (command.m_patch.m_deadline && !command.m_patch.m_patience)
        service.m_patience = std::max(Milliseconds(0), std::min(service.m_patience, *command.m_patch.m_deadline));
    return putService(context, patched(std::move(service), command.m_patch));
}

CommandResult applyBody(ApplyContext& context, const AlterService& command)
{
    const auto& services = context.m_state.m_published.m_services;
    const auto service = services.find(command.m_service);
    if (service == services.end())
        return unknownService(command.m_service);
    return putService(context, patched(service->second, command.m_patch));
}

CommandResult applyBody(ApplyContext& context, const DropService& command)
{
    PublishedState& published = context.m_state.m_published;
    if (published.m_services.count(command.m_service) == 0)
        return unknownService(command.m_service);
    std::vector<EndpointRecord> endpoints;
    for (const auto& [id, endpoint] : published.m_endpoints) {
        if (endpoint.m_service == command.m_service)
            endpoints.push_back(endpoint);
    }
    for (const EndpointRecord& endpoint : endpoints)
        eraseEndpoint(context, endpoint);
    std::vector<LayoutKey> layouts;
    for (const auto& [key, layout] : published.m_layouts) {
        if (key.m_service == command.m_service)
            layouts.push_back(key);
    }
    for (const LayoutKey& layout : layouts)
        context.change(ErasedLayout { layout });
    std::vector<Fingerprint> quarantined;
    for (const auto& [fingerprint, record] : published.m_quarantine) {
        if (record.m_service == command.m_service)
            quarantined.push_back(fingerprint);
    }
    for (const Fingerprint fingerprint : quarantined)
        context.change(ErasedQuarantine { fingerprint });
    context.change(ErasedService { command.m_service });
    return success("removed with " + std::to_string(endpoints.size()) + " endpoints");
}

CommandResult applyBody(ApplyContext& context, const DrainEndpoint& command)
{
    return setOperatorDrain(context, command.m_endpoint, true);
}

CommandResult applyBody(ApplyContext& context, const RestoreEndpoint& command)
{
    return setOperatorDrain(context, command.m_endpoint, false);
}

} // namespace flamingo::detail
