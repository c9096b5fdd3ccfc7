#include "routing/connectionchanges.h"

#include <algorithm>

namespace flamingo {

namespace {

const EndpointId* endpointOf(const Change& change)
{
    if (const auto* record = std::get_if<EndpointRecord>(&change))
        return &record->m_id;
    if (const auto* erased = std::get_if<ErasedEndpoint>(&change))
        return &erased->m_endpoint;
    if (const auto* drain = std::get_if<OperatorDrainChange>(&change))
        return &drain->m_endpoint;
    return nullptr;
}

ConnectionChanges changesOfAllEndpoints(const RoutingTable& table, const std::set<EndpointId>& connected)
{
    ConnectionChanges result;
    for (const EndpointId& endpoint : connected) {
        if (table.m_positions.count(endpoint) == 0)
            result.m_removed.push_back(endpoint);
    }
    for (const auto& [endpoint, position] : table.m_positions)
        result.m_present.push_back(position);
    return result;
}

} // namespace

ConnectionChanges connectionChanges(const RoutingTable& table, const std::set<EndpointId>& connected,
    const std::vector<Change>* changes, bool (*concernsAll)(const Change&))
{
    if (!changes || std::any_of(changes->begin(), changes->end(), concernsAll))
        return changesOfAllEndpoints(table, connected);
    ConnectionChanges result;
    for (const Change& change : *changes) {
        const EndpointId* endpoint = endpointOf(change);
        if (!endpoint)
            continue;
        const auto position = table.m_positions.find(*endpoint);
        if (position == table.m_positions.end())
            result.m_removed.push_back(*endpoint);
        else
            result.m_present.push_back(position->second);
    }
    return result;
}

} // namespace flamingo
