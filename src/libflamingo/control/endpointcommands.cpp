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

} // namespace flamingo
