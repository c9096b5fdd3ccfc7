#include "control/endpointcommands.h"

namespace flamingo {

namespace {

const EndpointRecord* findEndpoint(const ControlState& state, const EndpointId& endpoint)
{
    const auto found = state.m_published.m_endpoints.find(endpoint);
    return found != state.m_published.m_endpoints.end() ? &found->second : nullptr;
}

/** Returns the draining endpoints whose registration ends with the command. */
std::vector<RemoveEndpoints::Target> drainsEndedBy(const ControlState& state, const CommandBody& body)
{
    std::vector<RemoveEndpoints::Target> drains;
    if (const auto* registration = std::get_if<RegisterEndpoint>(&body)) {
        const EndpointRecord* replaced = findEndpoint(state, registration->m_endpoint.m_id);
        if (replaced && replaced->m_draining && replaced->m_incarnation != registration->m_endpoint.m_incarnation)
            drains.push_back({ replaced->m_id, replaced->m_incarnation, false });
    } else if (const auto* dropped = std::get_if<DropService>(&body)) {
        for (const auto& [id, endpoint] : state.m_published.m_endpoints) {
            if (endpoint.m_draining && endpoint.m_service == dropped->m_service)
                drains.push_back({ id, endpoint.m_incarnation, false });
        }
    }
    return drains;
}

} // namespace

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

std::vector<CommandBody> keepingDepartures(const ControlState& state, const Command& command)
{
    const CommandBody& body = command.m_body;
    if (const auto* drain = std::get_if<DrainOwnEndpoint>(&body)) {
        const EndpointRecord* registered = findEndpoint(state, drain->m_endpoint);
        if (!registered || registered->m_incarnation != drain->m_incarnation)
            return { RemoveEndpoints { { { drain->m_endpoint, drain->m_incarnation, false } } } };
    }
    const bool willBeRefused
        = command.m_expectedVersion && *command.m_expectedVersion != state.m_published.m_configurationVersion;
    std::vector<RemoveEndpoints::Target> drains = drainsEndedBy(state, body);
    if (willBeRefused || drains.empty())
        return { body };
    return { RemoveEndpoints { std::move(drains) }, body };
}

} // namespace flamingo
