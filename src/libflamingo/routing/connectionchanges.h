#pragma once

#include "control/messages.h"
#include "routing/routingtable.h"

#include <set>
#include <vector>

namespace flamingo {

/** Endpoints whose connections must be adjusted to a new published state. */
struct ConnectionChanges {
    std::vector<EndpointIndex> m_present; // in the table; their limits and connections may have changed
    std::vector<EndpointId> m_removed; // no longer in the table
};

/**
 * Returns the endpoints whose connections are affected by the changes that led to the table.
 *
 * If changes is null, or concernsAll returns true for one of them, these are all endpoints of the table and the
 * connected endpoints that are not in it; otherwise the endpoints that the changes name. Thread-safe.
 */
ConnectionChanges connectionChanges(const RoutingTable& table, const std::set<EndpointId>& connected,
    const std::vector<Change>* changes, bool (*concernsAll)(const Change&));

} // namespace flamingo
