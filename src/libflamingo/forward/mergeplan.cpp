#include "forward/mergeplan.h"

#include "base/hash.h"
#include "forward/relayplan.h"
#include "forward/vmendpoints.h"
#include "routing/connectionshare.h"

#include <algorithm>
#include <map>

namespace flamingo {

namespace {

// Minimum number of owners of a group, so that a choice remains after the loss of one.
constexpr std::size_t minOwners = 3;
// Connections kept open in advance to each endpoint.
constexpr std::uint32_t warmConnections = 1;

using VmList = std::vector<const VmRecord*>;

bool isLargeFanOut(const ForwardState& state, const Route& route)
{
    return route.m_shards.size() >= state.m_settings.m_minShardsForTwoLevels;
}

std::size_t groupCount(const ForwardState& state, const PublishedState& published)
{
    std::size_t largest = 0;
    for (const auto& [key, route] : published.m_routes) {
        if (isLargeFanOut(state, route))
            largest = std::max(largest, mergeGroups(route.m_shards, state.m_settings.m_shardsPerGroup).size());
    }
    return largest;
}

std::map<DataCentreName, VmList> byDataCentre(const VmList& vms)
{
    std::map<DataCentreName, VmList> result;
    for (const VmRecord* vm : vms)
        result[vm->m_dataCentre].push_back(vm);
    return result;
}

std::size_t divideRoundingUp(std::size_t dividend, std::size_t divisor) { return (dividend + divisor - 1) / divisor; }

// Returns the owners of the group: a share of the VMs of each data centre, so that each VM has an owner close by.
VmList ownersOf(const std::map<DataCentreName, VmList>& dataCentres, std::size_t group, std::size_t groups)
{
    const std::uint64_t key = hashBytes(mergeGroupName(group).value());
    const auto score = [key](const VmRecord* vm) { return rendezvousScore(key, hashBytes(vm->m_id.value())); };
    const std::size_t minInDataCentre = divideRoundingUp(minOwners, dataCentres.size());
    VmList owners;
    for (const auto& [dataCentre, vms] : dataCentres) {
        VmList ranked = vms;
        std::sort(ranked.begin(), ranked.end(),
            [&score](const VmRecord* a, const VmRecord* b) { return score(a) > score(b); });
        const std::size_t count = std::max(minInDataCentre, divideRoundingUp(vms.size(), groups));
        ranked.resize(std::min(count, ranked.size()));
        owners.insert(owners.end(), ranked.begin(), ranked.end());
    }
    return owners;
}

std::uint64_t mergeInputHash(const PublishedState& published, const VmList& vms)
{
    std::uint64_t inputHash = published.m_routeHeader.m_version.value();
    for (const VmRecord* vm : vms)
        inputHash = hashBytes(vm->m_id.value(), inputHash + vm->m_incarnation.value());
    return inputHash;
}

void recordShardOwners(
    ForwardState& state, const PublishedState& published, std::size_t owners, const std::vector<bool>& own)
{
    RoutingTable& table = state.m_routing.m_table;
    for (const auto& [key, route] : published.m_routes) {
        if (!isLargeFanOut(state, route))
            continue;
        const auto groups = mergeGroups(route.m_shards, state.m_settings.m_shardsPerGroup);
        for (std::size_t group = 0; group < groups.size(); ++group) {
            for (const ServiceName& shard : groups[group]) {
                table.m_sharingVmCounts[shard] = static_cast<std::uint32_t>(owners);
                if (own[group])
                    state.m_ownShards.insert(shard);
            }
        }
    }
}

void collectDirectServices(ForwardState& state, const PublishedState& published)
{
    for (const auto& [key, route] : published.m_routes) {
        if (isLargeFanOut(state, route))
            continue;
        state.m_directServices.insert(route.m_shards.begin(), route.m_shards.end());
        for (const RouteTarget& target : route.m_targets)
            state.m_directServices.insert(target.m_service);
    }
}

// Only the owners of its group call a shard, unless a route leads to it directly.
void countCallingVms(ForwardState& state)
{
    RoutingTable& table = state.m_routing.m_table;
    for (const auto& [service, owners] : table.m_sharingVmCounts) {
        if (state.m_directServices.count(service) == 0)
            table.m_callingVmCounts[service] = owners;
    }
}

} // namespace

std::vector<std::vector<ServiceName>> mergeGroups(const std::vector<ServiceName>& shards, std::size_t shardsPerGroup)
{
    std::vector<ServiceName> sorted = shards;
    std::sort(sorted.begin(), sorted.end());
    const std::size_t count = std::max<std::size_t>(1, (sorted.size() + shardsPerGroup - 1) / shardsPerGroup);
    std::vector<std::vector<ServiceName>> groups(count);
    for (std::size_t index = 0; index < sorted.size(); ++index)
        groups[index * count / sorted.size()].push_back(sorted[index]);
    return groups;
}

ServiceName mergeGroupName(std::size_t group) { return ServiceName("merge/" + std::to_string(group)); }

bool usesMergers(const ForwardState& state, const Route& route)
{
    return state.m_mergeGroups > 0 && isLargeFanOut(state, route);
}

bool callsDirectly(const ForwardState& state, const ServiceName& service)
{
    return state.m_mergeGroups == 0 || state.m_ownShards.count(service) > 0
        || state.m_directServices.count(service) > 0;
}

ConnectionPlan connectionPlan(ForwardState& state, EndpointIndex endpoint)
{
    RoutingTable& table = state.m_routing.m_table;
    const EndpointRoute& route = table.m_endpoints.at(endpoint.value());
    const std::uint32_t share = endpointShare(table, endpoint);
    const bool routed = table.m_routedConnections.count(route.m_service) > 0;
    if (route.m_draining || !routed || !callsDirectly(state, route.m_service))
        return { share, 0 };
    const bool mergedByOthers
        = table.m_sharingVmCounts.count(route.m_service) > 0 && state.m_ownShards.count(route.m_service) == 0;
    if (mergedByOthers)
        return { std::min(share, 1U), 0 };
    return { share, std::min(share, warmConnections) };
}

void updateMergers(ForwardState& state, MonotonicTime now)
{
    const PublishedState& published = *state.m_routing.m_state;
    const VmList vms = servingVms(published);
    const std::uint64_t inputHash = mergeInputHash(published, vms);
    if (inputHash == state.m_mergeInputHash)
        return;
    state.m_mergeInputHash = inputHash;
    updateRelays(state, now);
    const std::size_t groups = groupCount(state, published);
    RoutingTable& table = state.m_routing.m_table;
    table.m_sharingVmCounts.clear();
    table.m_callingVmCounts.clear();
    ++table.m_vmGeneration;
    state.m_ownShards.clear();
    state.m_directServices.clear();
    state.m_mergeGroups = state.m_settings.m_mergePort != 0 && vms.size() >= groups * 2 ? groups : 0;
    if (state.m_mergeGroups == 0)
        return;
    const std::map<DataCentreName, VmList> dataCentres = byDataCentre(vms);
    const std::size_t owners = ownersOf(dataCentres, 0, groups).size(); // the same for each group
    auto mergers = std::make_shared<PublishedState>();
    VmRecord self;
    self.m_id = state.m_routing.m_settings.m_vm;
    mergers->m_vms[self.m_id] = self;
    std::vector<bool> own(groups, false);
    for (std::size_t group = 0; group < groups; ++group) {
        for (const VmRecord* vm : ownersOf(dataCentres, group, groups)) {
            own[group] = own[group] || vm->m_id == self.m_id;
            const EndpointId id(vm->m_id.value() + "/" + std::to_string(group));
            EndpointRecord record = vmEndpoint(*vm, id, mergeGroupName(group), state.m_settings.m_mergePort);
            mergers->m_endpoints[record.m_id] = std::move(record);
        }
    }
    recordShardOwners(state, published, owners, own);
    collectDirectServices(state, published);
    countCallingVms(state);
    applyPublishedState(state.m_mergers, std::move(mergers), now);
}

} // namespace flamingo
