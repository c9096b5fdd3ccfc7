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

/** Data of one endpoint that routing uses. */
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
    bool m_routed = false; // serves requests that are forwarded by route
    std::uint32_t m_slots = 1;
    std::uint32_t m_connections = 1; // limit for all VMs together
    std::uint32_t m_share = 0; // connections of this daemon; valid while m_shareGeneration is current
    std::uint64_t m_shareGeneration = 0; // RoutingTable::m_vmGeneration that m_share is for; 0 for none
    bool m_draining = false; // announced by the endpoint, said in its answers, or set by an operator
    bool m_present = false; // false if the position is unused
};

/** Replicas of the shards of one snapshot and layout. */
struct SnapshotRoutes {
    SnapshotVersion m_version;
    LayoutId m_layout;
    std::uint64_t m_generation = 0; // distinguishes a record that was erased and created again
    std::vector<std::uint32_t> m_weights; // by shard
    std::uint64_t m_totalWeight = 0; // sum of m_weights
    std::uint64_t m_availableWeight = 0; // weight of the shards with a replica that is not draining
    std::vector<std::vector<EndpointIndex>> m_replicas; // by shard; draining ones included
};

using SnapshotId = std::pair<SnapshotVersion, LayoutId>;

/** Definition of a service and its snapshots, the newest first. */
struct ServiceRoutes {
    ServiceDefinition m_definition;
    std::map<SnapshotId, SnapshotRoutes, std::greater<SnapshotId>> m_snapshots;
};

/**
 * Index of a PublishedState for routing.
 *
 * The position of an endpoint is stable while the endpoint is known. Not thread-safe: each instance belongs
 * to one event loop.
 */
struct RoutingTable {
    Revision m_revision;
    ConfigurationVersion m_configurationVersion;
    std::vector<EndpointRoute> m_endpoints;
    std::vector<EndpointIndex> m_freePositions;
    std::unordered_map<EndpointId, EndpointIndex> m_positions;
    std::unordered_map<ServiceName, std::vector<EndpointIndex>> m_members; // endpoints by the service they name
    std::map<ServiceName, ServiceRoutes> m_services;
    std::unordered_map<ServiceName, std::uint32_t> m_routedConnections; // limit of each endpoint
    // Number of VMs that share the connections of a service's endpoints, for services that not all VMs share.
    std::unordered_map<ServiceName, std::uint32_t> m_sharingVmCounts;
    // Number of VMs that call a service's endpoints, for services that not all VMs call.
    std::unordered_map<ServiceName, std::uint32_t> m_callingVmCounts;
    // Endpoints that said in an answer that they leave. Remembered also while they are not in the published state,
    // which learns later that they leave.
    std::map<EndpointId, Incarnation> m_leaving;
    std::uint64_t m_lastLayoutGeneration = 0; // newest SnapshotRoutes::m_generation
    std::uint64_t m_vmHash = 0; // hash of this daemon's name
    std::vector<std::uint64_t> m_vmHashes; // hashes of the names of admitted VMs, including VMs that left recently
    std::uint64_t m_vmGeneration = 1; // incremented whenever the VMs that share connections change
};

/** Called with the position of each endpoint that is new or has a new incarnation. */
using EndpointArrivalHandler = std::function<void(EndpointIndex)>;

/**
 * Updates the table to the state by comparing all records.
 *
 * Used for the first state and after a full copy. Scans all endpoints.
 */
void reconcileRoutingTable(RoutingTable& table, const PublishedState& state, const EndpointArrivalHandler& onArrival);

/**
 * Updates the table to the state by applying the changes.
 *
 * Precondition: the changes lead from the table's revision to the state. Takes microseconds per change.
 */
void updateRoutingTable(RoutingTable& table, const PublishedState& state, const std::vector<Change>& changes,
    const EndpointArrivalHandler& onArrival);

/**
 * Records that an endpoint leaves, as it says in its answers: it gets no more calls in this lifetime.
 *
 * The state is the one that the table was updated to. Returns false if that is known already.
 */
bool recordLeaving(
    RoutingTable& table, const PublishedState& state, const EndpointId& endpoint, Incarnation incarnation);

/**
 * Returns the connections that this daemon may have to the endpoint.
 *
 * The share is computed at the first use after the VMs changed, since with fewer connections than VMs it
 * scans all VMs.
 */
std::uint32_t endpointShare(RoutingTable& table, EndpointIndex endpoint);

/** Returns how many VMs connect to the endpoints of the service; at least 1. */
std::uint32_t sharingVms(const RoutingTable& table, const ServiceName& service);

/** Returns how many VMs may call the endpoints of the service; at least 1. */
std::uint32_t callingVms(const RoutingTable& table, const ServiceName& service);

/** Returns how many VMs may call the endpoint; at least 1. Precondition: the endpoint is in the table. */
std::uint32_t callingVms(const RoutingTable& table, EndpointIndex endpoint);

/** Returns the routes of the service, or null. The pointer is valid until the next change of the table. */
const ServiceRoutes* findService(const RoutingTable& table, const ServiceName& service);

/** Returns the routes of the snapshot, or null. The pointer is valid until the next change of the table. */
const SnapshotRoutes* findSnapshot(const ServiceRoutes& service, SnapshotVersion version, LayoutId layout);

} // namespace flamingo
