#pragma once

#include "base/ids.h"
#include "control/endpointrecord.h"
#include "control/quarantinerecord.h"
#include "control/servicedefinition.h"
#include "control/snapshotlayout.h"
#include "control/vmrecord.h"
#include "routes/routeconfiguration.h"

#include <cstdint>
#include <map>
#include <set>

namespace flamingo {

/**
 * The part of the replicated state that every entry VM holds.
 *
 * A plain value. Entry VMs share it between threads as std::shared_ptr<const PublishedState>.
 */
struct PublishedState {
    Revision m_revision; // grows with every change
    ConfigurationVersion m_configurationVersion; // grows with every change by an operator
    std::map<ServiceName, ServiceDefinition> m_services;
    std::map<EndpointId, EndpointRecord> m_endpoints;
    std::set<EndpointId> m_operatorDrains; // kept apart, since a drain outlives a restart of the endpoint
    std::map<LayoutKey, SnapshotLayout> m_layouts;
    std::map<VmId, VmRecord> m_vms;
    std::map<Fingerprint, QuarantineRecord> m_quarantine;
    RouteHeader m_routeHeader;
    std::map<RouteKey, Route> m_routes;
    std::map<ServiceName, RoutedService> m_routedServices;
    // Sum of the hashes of all records modulo 2^64. applyChange() keeps it, so that the digest costs
    // the same for each change however many endpoints there are.
    std::uint64_t m_recordSum = 0;
};

} // namespace flamingo
