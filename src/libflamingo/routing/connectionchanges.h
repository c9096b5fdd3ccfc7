#pragma once

#include "control/messages.h"
#include "routing/routingtable.h"

#include <set>
#include <vector>

namespace flamingo {

/** Endpoints whose connections a new published state concerns. */
struct ConnectionChanges {
    std::vector<EndpointIndex> m_present; // whose limits and connections are to be looked at
    std::vector<EndpointId> m_gone;
};

/**
 * Returns what changes that led to the table mean for connections.
 *
 * Without changes, or with one that the predicate says concerns all endpoints, these are all endpoints of the table and
 * the connected ones that it lacks; otherwise the endpoints that the changes name. Thread-safe.
 */
ConnectionChanges connectionChanges(const RoutingTable& table, const std::set<EndpointId>& connected,
    const std::vector<Change>* changes, bool (*concernsAll)(const Change&));

} // namespace flamingo
