#include "routing/routingtable.h"

#include "base/hash.h"
#include "routing/connectionshare.h"

#include <algorithm>
#include <numeric>
#include <tuple>

namespace flamingo {

namespace {

EndpointRoute& routeAt(RoutingTable& table, EndpointIndex index) { return table.m_endpoints[index.value()]; }

// Adds or subtracts the shard's weight if no other replica of the shard takes new work.
void adjustAvailableWeight(
    const RoutingTable& table, SnapshotRoutes& snapshot, std::size_t shard, EndpointIndex endpoint, bool available)
{
    const auto& replicas = snapshot.m_replicas[shard];
    const bool others = std::any_of(replicas.begin(), replicas.end(),
        [&](EndpointIndex other) { return other != endpoint && !table.m_endpoints[other.value()].m_draining; });
    if (others)
        return;
    if (available)
        snapshot.m_availableWeight += snapshot.m_weights[shard];
    else
        snapshot.m_availableWeight -= snapshot.m_weights[shard];
}

SnapshotRoutes* snapshotOf(RoutingTable& table, const ServiceName& name, const ShardHolding& holding)
{
    const auto service = table.m_services.find(name);
    if (service == table.m_services.end())
        return nullptr;
    const auto snapshot = service->second.m_snapshots.find({ holding.m_version, holding.m_layout });
    if (snapshot == service->second.m_snapshots.end() || holding.m_shard.value() >= snapshot->second.m_weights.size())
        return nullptr;
    return &snapshot->second;
}

void linkReplica(RoutingTable& table, EndpointIndex index)
{
    const EndpointRoute& route = routeAt(table, index);
    for (const ShardHolding& holding : route.m_holdings) {
        SnapshotRoutes* snapshot = snapshotOf(table, route.m_service, holding);
        if (!snapshot)
            continue;
        const std::size_t shard = holding.m_shard.value();
        auto& replicas = snapshot->m_replicas[shard];
        if (std::find(replicas.begin(), replicas.end(), index) != replicas.end())
            continue;
        replicas.push_back(index);
        if (!route.m_draining)
            adjustAvailableWeight(table, *snapshot, shard, index, true);
    }
}

void unlinkReplica(RoutingTable& table, EndpointIndex index)
{
    const EndpointRoute& route = routeAt(table, index);
    for (const ShardHolding& holding : route.m_holdings) {
        SnapshotRoutes* snapshot = snapshotOf(table, route.m_service, holding);
        if (!snapshot)
            continue;
        const std::size_t shard = holding.m_shard.value();
        auto& replicas = snapshot->m_replicas[shard];
        const auto position = std::find(replicas.begin(), replicas.end(), index);
        if (position == replicas.end())
            continue;
        if (!route.m_draining)
            adjustAvailableWeight(table, *snapshot, shard, index, false);
        replicas.erase(position);
    }
}

void removeMember(RoutingTable& table, EndpointIndex index)
{
    auto& members = table.m_members[routeAt(table, index).m_service];
    members.erase(std::remove(members.begin(), members.end(), index), members.end());
}

void eraseEndpoint(RoutingTable& table, const EndpointId& id)
{
    const auto position = table.m_positions.find(id);
    if (position == table.m_positions.end())
        return;
    const EndpointIndex index = position->second;
    unlinkReplica(table, index);
    removeMember(table, index);
    table.m_positions.erase(position);
    routeAt(table, index) = EndpointRoute();
    table.m_freePositions.push_back(index);
}

EndpointIndex allocate(RoutingTable& table, const EndpointId& id)
{
    EndpointIndex index(static_cast<std::uint32_t>(table.m_endpoints.size()));
    if (table.m_freePositions.empty()) {
        table.m_endpoints.emplace_back();
    } else {
        index = table.m_freePositions.back();
        table.m_freePositions.pop_back();
    }
    table.m_positions.emplace(id, index);
    return index;
}

// Far more than the endpoints that leave within the life of one.
constexpr std::size_t maxLeaving = 4096;

bool isDraining(const RoutingTable& table, const PublishedState& state, const EndpointRoute& route, bool announced)
{
    if (announced || state.m_operatorDrains.count(route.m_id) > 0 || state.m_evacuated.count(route.m_dataCentre) > 0)
        return true;
    const auto leaving = table.m_leaving.find(route.m_id);
    return leaving != table.m_leaving.end() && leaving->second == route.m_incarnation;
}

void refreshDraining(RoutingTable& table, const PublishedState& state, EndpointIndex index, bool announced)
{
    EndpointRoute& route = routeAt(table, index);
    const bool draining = isDraining(table, state, route, announced);
    if (draining == route.m_draining)
        return;
    route.m_draining = draining;
    for (const ShardHolding& holding : route.m_holdings) {
        if (SnapshotRoutes* snapshot = snapshotOf(table, route.m_service, holding))
            adjustAvailableWeight(table, *snapshot, holding.m_shard.value(), index, !draining);
    }
}

// Sets the limits on connections and slots to the lower of those of the endpoint and of the service.
void refreshLimits(const RoutingTable& table, EndpointRoute& route, const EndpointRecord& record)
{
    route.m_connections = record.m_connections;
    route.m_slots = std::max(record.m_slots, 1U);
    const auto service = table.m_services.find(record.m_service);
    if (service != table.m_services.end()) {
        const ServiceDefinition& definition = service->second.m_definition;
        route.m_connections = std::min(route.m_connections, definition.m_connectionsPerEndpoint);
        route.m_slots = std::min(route.m_slots, std::max(definition.m_slotsPerEndpoint, 1U));
    }
    const auto routed = table.m_routedConnections.find(record.m_service);
    if (record.m_routed && routed != table.m_routedConnections.end())
        route.m_connections = std::min(route.m_connections, routed->second);
    route.m_shareGeneration = 0;
}

// Returns the holdings without duplicates, which would count a shard's weight twice.
std::vector<ShardHolding> distinctHoldings(const std::vector<ShardHolding>& holdings)
{
    const auto order = [](const ShardHolding& a, const ShardHolding& b) {
        return std::tie(a.m_version, a.m_layout, a.m_shard) < std::tie(b.m_version, b.m_layout, b.m_shard);
    };
    std::vector<ShardHolding> result = holdings;
    std::sort(result.begin(), result.end(), order);
    const auto same = [&](const ShardHolding& a, const ShardHolding& b) { return !order(a, b) && !order(b, a); };
    result.erase(std::unique(result.begin(), result.end(), same), result.end());
    return result;
}

bool sameRegistration(const EndpointRoute& route, const EndpointRecord& record)
{
    return route.m_incarnation == record.m_incarnation && route.m_registeredIn == record.m_registeredIn
        && route.m_service == record.m_service;
}

void upsertEndpoint(RoutingTable& table, const PublishedState& state, const EndpointRecord& record,
    const EndpointArrivalHandler& onArrival)
{
    const auto known = table.m_positions.find(record.m_id);
    const bool isNew = known == table.m_positions.end();
    if (!isNew && sameRegistration(routeAt(table, known->second), record)) {
        refreshDraining(table, state, known->second, record.m_draining);
        return;
    }
    const EndpointIndex index = isNew ? allocate(table, record.m_id) : known->second;
    const bool restarted = isNew || routeAt(table, index).m_incarnation != record.m_incarnation;
    if (!isNew) {
        unlinkReplica(table, index);
        removeMember(table, index);
    }
    EndpointRoute& route = routeAt(table, index);
    route.m_id = record.m_id;
    route.m_idHash = hashBytes(record.m_id.value());
    route.m_service = record.m_service;
    route.m_address = record.m_address;
    route.m_port = record.m_port;
    route.m_dataCentre = record.m_dataCentre;
    route.m_incarnation = record.m_incarnation;
    route.m_registeredIn = record.m_registeredIn;
    route.m_holdings = distinctHoldings(record.m_holdings);
    route.m_draining = isDraining(table, state, route, record.m_draining);
    route.m_present = true;
    route.m_routed = record.m_routed;
    refreshLimits(table, route, record);
    table.m_members[route.m_service].push_back(index);
    linkReplica(table, index);
    if (restarted && onArrival)
        onArrival(index);
}

// Links the endpoints of a service again after the service or one of its layouts was added or changed.
void relinkService(RoutingTable& table, const PublishedState& state, const ServiceName& name)
{
    const auto members = table.m_members.find(name);
    if (members == table.m_members.end())
        return;
    for (const EndpointIndex index : members->second) {
        EndpointRoute& route = routeAt(table, index);
        const auto record = state.m_endpoints.find(route.m_id);
        if (record != state.m_endpoints.end())
            refreshLimits(table, route, record->second);
        linkReplica(table, index);
    }
}

void upsertRoutedService(RoutingTable& table, const PublishedState& state, const RoutedService& service)
{
    const auto [position, added] = table.m_routedConnections.try_emplace(service.m_name);
    if (!added && position->second == service.m_connectionsPerEndpoint)
        return;
    position->second = service.m_connectionsPerEndpoint;
    relinkService(table, state, service.m_name);
}

bool upsertLayout(RoutingTable& table, const SnapshotLayout& layout)
{
    const auto service = table.m_services.find(layout.m_key.m_service);
    if (service == table.m_services.end())
        return false;
    const SnapshotId id(layout.m_key.m_version, layout.m_key.m_layout);
    const auto [position, added] = service->second.m_snapshots.try_emplace(id);
    SnapshotRoutes& snapshot = position->second;
    if (!added && snapshot.m_weights == layout.m_shardWeights)
        return false;
    snapshot = SnapshotRoutes();
    snapshot.m_version = layout.m_key.m_version;
    snapshot.m_layout = layout.m_key.m_layout;
    snapshot.m_generation = ++table.m_lastLayoutGeneration;
    snapshot.m_weights = layout.m_shardWeights;
    snapshot.m_totalWeight
        = std::accumulate(layout.m_shardWeights.begin(), layout.m_shardWeights.end(), std::uint64_t(0));
    snapshot.m_replicas.resize(layout.m_shardWeights.size());
    return true;
}

void eraseLayout(RoutingTable& table, const LayoutKey& key)
{
    const auto service = table.m_services.find(key.m_service);
    if (service != table.m_services.end())
        service->second.m_snapshots.erase({ key.m_version, key.m_layout });
}

// Returns whether relinkService() must be called for the service.
bool upsertService(RoutingTable& table, const PublishedState& state, const ServiceDefinition& definition)
{
    const auto [position, added] = table.m_services.try_emplace(definition.m_name);
    const ServiceDefinition old = position->second.m_definition;
    position->second.m_definition = definition;
    if (!added)
        return old.m_connectionsPerEndpoint != definition.m_connectionsPerEndpoint
            || old.m_slotsPerEndpoint != definition.m_slotsPerEndpoint;
    const LayoutKey first { definition.m_name, SnapshotVersion(0), LayoutId(0) };
    for (auto layout = state.m_layouts.lower_bound(first);
         layout != state.m_layouts.end() && layout->first.m_service == definition.m_name; ++layout)
        upsertLayout(table, layout->second);
    return true;
}

void refreshVms(RoutingTable& table, const PublishedState& state)
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(state.m_vms.size());
    for (const auto& [id, vm] : state.m_vms)
        hashes.push_back(hashBytes(id.value()));
    if (hashes == table.m_vmHashes)
        return;
    table.m_vmHashes = std::move(hashes);
    ++table.m_vmGeneration;
}

// Erases endpoints that the state does not list. Precondition: all endpoints of the state are in the table.
void eraseUnlistedEndpoints(RoutingTable& table, const PublishedState& state)
{
    if (table.m_positions.size() == state.m_endpoints.size())
        return;
    std::vector<EndpointId> unlisted;
    for (const auto& [id, index] : table.m_positions) {
        if (state.m_endpoints.count(id) == 0)
            unlisted.push_back(id);
    }
    for (const EndpointId& id : unlisted)
        eraseEndpoint(table, id);
}

void updateVersions(RoutingTable& table, const PublishedState& state)
{
    table.m_revision = state.m_revision;
    table.m_configurationVersion = state.m_configurationVersion;
}

// Applies changes to the table; m_vmsChanged tells whether refreshVms() must be called.
struct ChangeApplier {
    RoutingTable& m_table;
    const PublishedState& m_state;
    const EndpointArrivalHandler& m_onArrival;
    bool m_vmsChanged = false;

    void operator()(const ServiceDefinition& definition)
    {
        if (upsertService(m_table, m_state, definition))
            relinkService(m_table, m_state, definition.m_name);
    }
    void operator()(const EndpointRecord& record) { upsertEndpoint(m_table, m_state, record, m_onArrival); }
    void operator()(const SnapshotLayout& layout)
    {
        if (upsertLayout(m_table, layout))
            relinkService(m_table, m_state, layout.m_key.m_service);
    }
    void operator()(const VmRecord&) { m_vmsChanged = true; }
    void operator()(const QuarantineRecord&) { }
    void operator()(const ErasedService& erased) { m_table.m_services.erase(erased.m_service); }
    void operator()(const ErasedEndpoint& erased) { eraseEndpoint(m_table, erased.m_endpoint); }
    void operator()(const ErasedLayout& erased) { eraseLayout(m_table, erased.m_layout); }
    void operator()(const ErasedVm&) { m_vmsChanged = true; }
    void operator()(const ErasedQuarantine&) { }
    void operator()(const RouteHeader&) { }
    void operator()(const Route&) { }
    void operator()(const ErasedRoute&) { }
    void operator()(const RoutedService& service) { upsertRoutedService(m_table, m_state, service); }
    void operator()(const ErasedRoutedService& erased) { m_table.m_routedConnections.erase(erased.m_service); }
    void operator()(const Customer&) { }
    void operator()(const ErasedCustomer&) { }
    void operator()(const EvacuationChange& change)
    {
        for (const auto& [id, index] : m_table.m_positions) {
            const auto record = m_state.m_endpoints.find(id);
            if (record == m_state.m_endpoints.end() || record->second.m_dataCentre != change.m_dataCentre)
                continue;
            refreshDraining(m_table, m_state, index, record->second.m_draining);
            // Endpoints that had no calls for a while may have lost their caches, so they ramp up like new ones.
            if (!change.m_evacuated && m_onArrival)
                m_onArrival(index);
        }
    }
    void operator()(const OperatorDrainChange& change)
    {
        const auto position = m_table.m_positions.find(change.m_endpoint);
        const auto record = m_state.m_endpoints.find(change.m_endpoint);
        if (position != m_table.m_positions.end() && record != m_state.m_endpoints.end())
            refreshDraining(m_table, m_state, position->second, record->second.m_draining);
    }
};

} // namespace

void reconcileRoutingTable(RoutingTable& table, const PublishedState& state, const EndpointArrivalHandler& onArrival)
{
    for (auto service = table.m_services.begin(); service != table.m_services.end();)
        service = state.m_services.count(service->first) > 0 ? std::next(service) : table.m_services.erase(service);
    std::vector<ServiceName> servicesToRelink;
    for (const auto& [name, definition] : state.m_services) {
        if (upsertService(table, state, definition))
            servicesToRelink.push_back(name);
    }
    for (auto& [name, service] : table.m_services) {
        for (auto snapshot = service.m_snapshots.begin(); snapshot != service.m_snapshots.end();) {
            const LayoutKey key { name, snapshot->first.first, snapshot->first.second };
            snapshot = state.m_layouts.count(key) > 0 ? std::next(snapshot) : service.m_snapshots.erase(snapshot);
        }
    }
    for (const auto& [key, layout] : state.m_layouts) {
        if (upsertLayout(table, layout) && (servicesToRelink.empty() || servicesToRelink.back() != key.m_service))
            servicesToRelink.push_back(key.m_service);
    }
    std::sort(servicesToRelink.begin(), servicesToRelink.end());
    servicesToRelink.erase(std::unique(servicesToRelink.begin(), servicesToRelink.end()), servicesToRelink.end());
    for (const ServiceName& name : servicesToRelink)
        relinkService(table, state, name);
    for (const auto& [id, record] : state.m_endpoints)
        upsertEndpoint(table, state, record, onArrival);
    table.m_routedConnections.clear();
    for (const auto& [name, service] : state.m_routedServices)
        upsertRoutedService(table, state, service);
    eraseUnlistedEndpoints(table, state);
    refreshVms(table, state);
    updateVersions(table, state);
}

void updateRoutingTable(RoutingTable& table, const PublishedState& state, const std::vector<Change>& changes,
    const EndpointArrivalHandler& onArrival)
{
    ChangeApplier applier { table, state, onArrival };
    for (const Change& change : changes)
        std::visit(applier, change);
    if (applier.m_vmsChanged)
        refreshVms(table, state);
    updateVersions(table, state);
}

std::uint32_t sharingVms(const RoutingTable& table, const ServiceName& service)
{
    const auto sharers = table.m_sharingVmCounts.find(service);
    const auto all = static_cast<std::uint32_t>(table.m_vmHashes.size());
    return std::max(1U, sharers != table.m_sharingVmCounts.end() ? sharers->second : all);
}

std::uint32_t callingVms(const RoutingTable& table, const ServiceName& service)
{
    const auto callers = table.m_callingVmCounts.find(service);
    const auto all = static_cast<std::uint32_t>(table.m_vmHashes.size());
    return std::max(1U, callers != table.m_callingVmCounts.end() ? callers->second : all);
}

std::uint32_t callingVms(const RoutingTable& table, EndpointIndex endpoint)
{
    const EndpointRoute& route = table.m_endpoints[endpoint.value()];
    // With fewer connections than VMs, each of them belongs to another VM.
    return std::max(1U, std::min(callingVms(table, route.m_service), route.m_connections));
}

bool recordLeaving(
    RoutingTable& table, const PublishedState& state, const EndpointId& endpoint, Incarnation incarnation)
{
    const auto known = table.m_leaving.find(endpoint);
    if (known != table.m_leaving.end() && known->second == incarnation)
        return false;
    if (known == table.m_leaving.end() && table.m_leaving.size() >= maxLeaving)
        table.m_leaving.erase(table.m_leaving.begin());
    table.m_leaving[endpoint] = incarnation;
    const auto position = table.m_positions.find(endpoint);
    if (position != table.m_positions.end() && routeAt(table, position->second).m_incarnation == incarnation)
        refreshDraining(table, state, position->second, true);
    return true;
}

std::uint32_t endpointShare(RoutingTable& table, EndpointIndex endpoint)
{
    EndpointRoute& route = routeAt(table, endpoint);
    if (route.m_shareGeneration != table.m_vmGeneration) {
        const auto sharers = table.m_sharingVmCounts.find(route.m_service);
        route.m_share = sharers != table.m_sharingVmCounts.end()
            ? std::max(1U, route.m_connections / std::max(1U, sharers->second))
            : connectionShare(route.m_connections, table.m_vmHash, table.m_vmHashes, route.m_idHash);
        route.m_shareGeneration = table.m_vmGeneration;
    }
    return route.m_share;
}

const ServiceRoutes* findService(const RoutingTable& table, const ServiceName& service)
{
    const auto position = table.m_services.find(service);
    return position == table.m_services.end() ? nullptr : &position->second;
}

const SnapshotRoutes* findSnapshot(const ServiceRoutes& service, SnapshotVersion version, LayoutId layout)
{
    const auto position = service.m_snapshots.find({ version, layout });
    return position == service.m_snapshots.end() ? nullptr : &position->second;
}

} // namespace flamingo
