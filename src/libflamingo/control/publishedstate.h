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
 * The part of the replicated state that every entry VM has a copy of.
 *
 * A plain value, which entry VMs share between threads as std::shared_ptr<const PublishedState>.
 */
struct PublishedState {
    Revision m_revision; // grows by one with every change
    ConfigurationVersion m_configurationVersion; // grows by one with every successful operator command
    std::map<ServiceName, ServiceDefinition> m_services;
    std::map<EndpointId, EndpointRecord> m_endpoints;
    // Not part of the endpoint records, because a drain by an operator outlasts a restart of the endpoint.
    std::set<EndpointId> m_operatorDrains;
    std::map<LayoutKey, SnapshotLayout> m_layouts;
    std::map<VmId, VmRecord> m_vms;
    std::map<Fingerprint, QuarantineRecord> m_quarantine;
    RouteHeader m_routeHeader;
    std::map<RouteKey, Route> m_routes;
    std::map<ServiceName, RoutedService> m_routedServices;
    std::map<CustomerName, Customer> m_customers;
    std::set<DataCentreName> m_evacuated; // data centres whose endpoints get no calls, by order of an operator
    // Sum of the hashes of all records modulo 2^64. applyChange() updates it, so that the cost of the digest does not
    // depend on the number of endpoints.
    std::uint64_t m_recordSum = 0;
};

} // namespace flamingo
