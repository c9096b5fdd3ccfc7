#pragma once

#include "base/ids.h"
#include "control/messages.h"
#include "control/publishedstate.h"
#include "routing/endpointindex.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace flamingo {

/** One endpoint as routing needs it. */
struct EndpointRoute {
    EndpointId m_id;
    std::uint64_t m_idHash = 0; // for rendezvous hashing
    ServiceName m_service;
    std::string m_address;
    std::uint16_t m_port = 0;
    DataCentreName m_dataCentre;
    Incarnation m_incarnation;
    Revision m_registeredIn;
    std::vector<ShardHolding> m_holdings;
    bool m_routed = false; // serves requests of routes
    std::uint32_t m_slots = 1;
    std::uint32_t m_connections = 1; // from the whole system
    std::uint32_t m_share = 0; // this daemon's part of the connections, as of m_shareGeneration
    std::uint64_t m_shareGeneration = 0;
    bool m_draining = false; // by the endpoint or by an operator
    bool m_present = false; // false for a free position
};

/** Replicas of the shards of one snapshot and layout. */
struct SnapshotRoutes {
    SnapshotVersion m_version;
    LayoutId m_layout;
    std::uint64_t m_generation = 0; // tells a record that was erased and made anew from the first one
    std::vector<std::uint32_t> m_weights;
    std::uint64_t m_totalWeight = 0; // of the layout record
    std::uint64_t m_availableWeight = 0; // of shards with a replica that takes new work
    std::vector<std::vector<EndpointIndex>> m_replicas; // by shard; draining ones included
};

using SnapshotId = std::pair<SnapshotVersion, LayoutId>;

/** One service with its snapshots, the newest first. */
struct ServiceRoutes {
    ServiceDefinition m_definition;
    std::map<SnapshotId, SnapshotRoutes, std::greater<SnapshotId>> m_snapshots;
};

/**
 * Index of a PublishedState for routing.
 *
 * A plain value for one event loop. Positions of endpoints are stable while the endpoint is known.
 */
struct RoutingTable {
    Revision m_revision;
    ConfigurationVersion m_configurationVersion;
    std::vector<EndpointRoute> m_endpoints;
    std::vector<EndpointIndex> m_free;
    std::unordered_map<EndpointId, EndpointIndex> m_positions;
    std::unordered_map<ServiceName, std::vector<EndpointIndex>> m_members; // by the service that endpoints name
    std::map<ServiceName, ServiceRoutes> m_services;
    std::unordered_map<ServiceName, std::uint32_t> m_routedConnections; // accepted by each endpoint of the service
    // VMs that share the connections of a service's endpoints, where these are not all VMs.
    std::unordered_map<ServiceName, std::uint32_t> m_sharers;
    std::uint64_t m_layoutsSeen = 0;
    std::uint64_t m_vmHash = 0; // of this daemon's name
    std::vector<std::uint64_t> m_vmHashes; // of admitted VMs, those that left lately included
    std::uint64_t m_vmGeneration = 1; // grows whenever m_vmHashes changes
};

/** Receives the position of each endpoint that is new or came back under another incarnation. */
using EndpointArrival = std::function<void(EndpointIndex)>;

/**
 * Brings the table to the state by comparing all records.
 *
 * For the first state and after a full copy. Costs a walk over all endpoints.
 */
void reconcileRoutingTable(RoutingTable& table, const PublishedState& state, const EndpointArrival& arrived);

/**
 * Brings the table to the state by the changes alone.
 *
 * Precondition: the changes lead from the table's revision to the state. Costs microseconds per change.
 */
void updateRoutingTable(RoutingTable& table, const PublishedState& state, const std::vector<Change>& changes,
    const EndpointArrival& arrived);

/**
 * Returns the connections that this daemon may have to the endpoint.
 *
 * Worked out at first use after the VMs changed, since with fewer connections than VMs it costs a
 * walk over all VMs.
 */
std::uint32_t endpointShare(RoutingTable& table, EndpointIndex endpoint);

/** Returns how many VMs connect to the endpoints of the service; at least 1. */
std::uint32_t sharingVms(const RoutingTable& table, const ServiceName& service);

/** Returns the routes of the service, or null. The pointer is valid until the next change of the table. */
const ServiceRoutes* findService(const RoutingTable& table, const ServiceName& service);

/** Returns the routes of the snapshot, or null. The pointer is valid until the next change of the table. */
const SnapshotRoutes* findSnapshot(const ServiceRoutes& service, SnapshotVersion version, LayoutId layout);

} // namespace flamingo
