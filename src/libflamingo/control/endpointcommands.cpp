#include "control/endpointcommands.h"

namespace flamingo {

std::vector<EndpointId> endpointsOf(const CommandBody& body)
{
    std::vector<EndpointId> endpoints;
    if (const auto* registration = std::get_if<RegisterEndpoint>(&body)) {
        endpoints.push_back(registration->m_endpoint.m_id);
    } else if (const auto* drain = std::get_if<DrainOwnEndpoint>(&body)) {
        endpoints.push_back(drain->m_endpoint);
    } else if (const auto* removal = std::get_if<RemoveEndpoints>(&body)) {
        for (const RemoveEndpoints::Target& target : removal->m_targets)
            endpoints.push_back(target.m_endpoint);
    }
    return endpoints;
}

const EndpointRecord* findEndpoint(const ControlState& state, const EndpointId& endpoint)
{
    const auto found = state.m_published.m_endpoints.find(endpoint);
    return found != state.m_published.m_endpoints.end() ? &found->second : nullptr;
}

std::optional<RemoveEndpoints> departureInPlaceOf(const ControlState& state, const Command& command)
{
    const auto* drain = std::get_if<DrainOwnEndpoint>(&command.m_body);
    if (!drain)
        return std::nullopt;
    const EndpointRecord* registered = findEndpoint(state, drain->m_endpoint);
    if (registered && registered->m_incarnation == drain->m_incarnation)
        return std::nullopt;
    return RemoveEndpoints { { { drain->m_endpoint, drain->m_incarnation, false } } };
}

std::optional<RemoveEndpoints> departuresBefore(const ControlState& state, const Command& command)
{
    RemoveEndpoints departures;
    if (const auto* registration = std::get_if<RegisterEndpoint>(&command.m_body)) {
        const EndpointRecord* replaced = findEndpoint(state, registration->m_endpoint.m_id);
        if (replaced && replaced->m_draining && replaced->m_incarnation != registration->m_endpoint.m_incarnation)
            departures.m_targets.push_back({ replaced->m_id, replaced->m_incarnation, false });
    } else if (const auto* dropped = std::get_if<DropService>(&command.m_body)) {
        for (const auto& [id, endpoint] : state.m_published.m_endpoints) {
            if (endpoint.m_draining && endpoint.m_service == dropped->m_service)
                departures.m_targets.push_back({ id, endpoint.m_incarnation, false });
        }
    }
    // A command that expects another version will be refused and ends no registration.
    const bool willBeRefused
        = command.m_expectedVersion && *command.m_expectedVersion != state.m_published.m_configurationVersion;
    if (departures.m_targets.empty() || willBeRefused)
        return std::nullopt;
    return departures;
}

} // namespace flamingo
