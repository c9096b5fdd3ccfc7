#include "control/applycontext.h"

#include "control/digest.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace flamingo::detail {

namespace {

constexpr std::size_t maxShards = 65536;
constexpr std::size_t maxHoldings = 4096;

CommandResult invalid(const EndpointRecord& endpoint, const std::string& text)
{
    return refusal(ResultCode::InvalidField, "endpoint " + endpoint.m_id.value() + ": " + text);
}

std::string describe(const LayoutKey& key)
{
    return "layout " + std::to_string(key.m_layout.value()) + " of snapshot " + std::to_string(key.m_version.value());
}

bool isValidLayout(const SnapshotLayout& layout)
{
    const auto& weights = layout.m_shardWeights;
    return !weights.empty() && weights.size() <= maxShards
        && std::all_of(weights.begin(), weights.end(), [](std::uint32_t weight) { return weight > 0; });
}

// Checks the announced layouts and adds them to the used ones.
CommandResult checkLayouts(
    const PublishedState& published, const RegisterEndpoint& command, std::map<LayoutKey, const SnapshotLayout*>& used)
{
    const EndpointRecord& endpoint = command.m_endpoint;
    for (const SnapshotLayout& layout : command.m_layouts) {
        if (layout.m_key.m_service != endpoint.m_service)
            return invalid(endpoint, "an announced layout belongs to another service");
        if (!isValidLayout(layout))
            return invalid(endpoint, describe(layout.m_key) + " needs 1 to 65536 shards with weights of at least 1");
        const auto recorded = published.m_layouts.find(layout.m_key);
        if (recorded != published.m_layouts.end() && recorded->second.m_shardWeights != layout.m_shardWeights)
            return refusal(ResultCode::LayoutConflict,
                "endpoint " + endpoint.m_id.value() + " announces other shard weights for " + describe(layout.m_key)
                    + " than are recorded");
        const auto [position, isNew] = used.try_emplace(layout.m_key, &layout);
        if (!isNew && position->second->m_shardWeights != layout.m_shardWeights)
            return refusal(ResultCode::LayoutConflict,
                "endpoint " + endpoint.m_id.value() + " announces " + describe(layout.m_key)
                    + " twice with other weights");
    }
    return success();
}

// Checks that each held shard exists in a layout. Leaves in used exactly the layouts that the endpoint holds.
CommandResult checkHoldings(
    const PublishedState& published, const EndpointRecord& endpoint, std::map<LayoutKey, const SnapshotLayout*>& used)
{
    std::set<LayoutKey> held;
    for (const ShardHolding& holding : endpoint.m_holdings) {
        const LayoutKey key { endpoint.m_service, holding.m_version, holding.m_layout };
        const auto recorded = published.m_layouts.find(key);
        if (recorded != published.m_layouts.end())
            used[key] = &recorded->second;
        const auto layout = used.find(key);
        if (layout == used.end())
            return invalid(endpoint, describe(key) + " is neither announced nor recorded");
        if (holding.m_shard.value() >= layout->second->m_shardWeights.size())
            return invalid(endpoint,
                "shard " + std::to_string(holding.m_shard.value()) + " is outside " + describe(key) + " with "
                    + std::to_string(layout->second->m_shardWeights.size()) + " shards");
        held.insert(key);
    }
    for (auto position = used.begin(); position != used.end();)
        position = held.count(position->first) > 0 ? std::next(position) : used.erase(position);
    return success();
}

bool isComplete(const ControlState& state, const SnapshotLayout& layout)
{
    const auto use = state.m_layoutUse.find(layout.m_key);
    return use != state.m_layoutUse.end() && use->second.m_coveredShards == layout.m_shardWeights.size();
}

bool hasLeft(const ControlState& state, const EndpointRecord& endpoint)
{
    const auto left = state.m_leftEndpoints.find(endpoint.m_id);
    return left != state.m_leftEndpoints.end() && left->second.m_incarnation == endpoint.m_incarnation;
}

void recordLeftEndpoint(ControlState& state, const RemoveEndpoints::Target& target)
{
    const auto earlier = state.m_leftEndpoints.find(target.m_endpoint);
    if (earlier != state.m_leftEndpoints.end())
        state.m_leftEndpointsByTime.erase({ earlier->second.m_at, target.m_endpoint });
    state.m_leftEndpoints[target.m_endpoint] = LeftEndpoint { target.m_incarnation, state.m_logTime };
    state.m_leftEndpointsByTime.emplace(state.m_logTime, target.m_endpoint);
}

} // namespace

CommandResult checkEndpoint(const EndpointRecord& endpoint)
{
    if (!isValidName(endpoint.m_id.value()))
        return refusal(ResultCode::InvalidField, "an endpoint id must have 1 to 128 characters");
    if (endpoint.m_address.empty() || endpoint.m_port == 0)
        return invalid(endpoint, "an IP address and a port are needed");
    if (endpoint.m_slots == 0 || endpoint.m_connections == 0)
        return invalid(endpoint, "slots and connections must be at least 1");
    if (endpoint.m_holdings.size() > maxHoldings)
        return invalid(endpoint, "at most " + std::to_string(maxHoldings) + " shards may be held");
    std::set<std::tuple<SnapshotVersion, LayoutId, ShardIndex>> seen;
    for (const ShardHolding& holding : endpoint.m_holdings) {
        if (!seen.emplace(holding.m_version, holding.m_layout, holding.m_shard).second)
            return invalid(endpoint, "a shard is listed twice in the holdings");
    }
    return success();
}

void updateLayoutUse(ControlState& state, const EndpointRecord& endpoint, bool add)
{
    for (const ShardHolding& holding : endpoint.m_holdings) {
        const LayoutKey key { endpoint.m_service, holding.m_version, holding.m_layout };
        LayoutUse& use = state.m_layoutUse[key];
        const std::size_t shard = holding.m_shard.value();
        if (use.m_holders.size() <= shard)
            use.m_holders.resize(shard + 1);
        if (add) {
            use.m_coveredShards += use.m_holders[shard]++ == 0 ? 1 : 0;
            ++use.m_totalHolders;
        } else {
            use.m_coveredShards -= --use.m_holders[shard] == 0 ? 1 : 0;
            if (--use.m_totalHolders == 0)
                state.m_layoutUse.erase(key);
        }
    }
}

void eraseEndpoint(ApplyContext& context, const EndpointRecord& endpoint)
{
    updateLayoutUse(context.m_state, endpoint, false);
    context.change(ErasedEndpoint { endpoint.m_id });
}

void eraseObsoleteLayouts(ApplyContext& context, const ServiceName& service)
{
    const auto& layouts = context.m_state.m_published.m_layouts;
    std::vector<LayoutKey> unheld; // oldest first
    const SnapshotLayout* newestComplete = nullptr;
    for (auto position = layouts.lower_bound(LayoutKey { service, {}, {} });
         position != layouts.end() && position->first.m_service == service; ++position) {
        if (context.m_state.m_layoutUse.count(position->first) == 0)
            unheld.push_back(position->first);
        if (isComplete(context.m_state, position->second))
            newestComplete = &position->second;
    }
    const std::optional<SnapshotVersion> complete
        = newestComplete != nullptr ? std::optional(newestComplete->m_key.m_version) : std::nullopt;
    std::size_t kept = unheld.size();
    for (const LayoutKey& key : unheld) {
        // A complete layout has holders, so an unheld one of the same version is another layout of that snapshot.
        const bool superseded = complete && *complete >= key.m_version;
        if (superseded || kept > maxUnheldLayouts) {
            context.change(ErasedLayout { key });
            --kept;
        }
    }
}

CommandResult applyBody(ApplyContext& context, const RegisterEndpoint& command)
{
    ControlState& state = context.m_state;
    EndpointRecord endpoint = command.m_endpoint;
    CommandResult result = checkEndpoint(endpoint);
    if (result.m_code != ResultCode::Ok)
        return result;
    // Endpoints of routed services may register before the route configuration names their service.
    if (!endpoint.m_routed && state.m_published.m_services.count(endpoint.m_service) == 0)
        return refusal(ResultCode::UnknownService, "there is no service " + endpoint.m_service.value());
    if (endpoint.m_routed && !endpoint.m_holdings.empty())
        return invalid(endpoint, "a routed endpoint must not hold shards");
    if (hasLeft(state, endpoint))
        return invalid(endpoint, "this incarnation has left; a new registration needs a new incarnation");
    std::map<LayoutKey, const SnapshotLayout*> used;
    result = checkLayouts(state.m_published, command, used);
    if (result.m_code == ResultCode::Ok)
        result = checkHoldings(state.m_published, endpoint, used);
    if (result.m_code != ResultCode::Ok)
        return result;

    const auto earlier = state.m_published.m_endpoints.find(endpoint.m_id);
    std::optional<EndpointRecord> replaced;
    if (earlier != state.m_published.m_endpoints.end()) {
        replaced = earlier->second;
        // A delayed registration must not undo a drain that was applied after it was sent.
        if (replaced->m_incarnation == endpoint.m_incarnation && replaced->m_draining)
            endpoint.m_draining = true;
        endpoint.m_registeredIn = replaced->m_registeredIn;
        if (recordHash(endpoint) == recordHash(*replaced))
            return success();
        updateLayoutUse(state, *replaced, false);
    }
    endpoint.m_registeredIn = context.nextRevision();
    for (const auto& [key, layout] : used) {
        if (state.m_published.m_layouts.count(key) == 0)
            context.change(*layout);
    }
    updateLayoutUse(state, endpoint, true);
    const ServiceName service = endpoint.m_service;
    context.change(std::move(endpoint));
    eraseObsoleteLayouts(context, service);
    if (replaced && replaced->m_service != service)
        eraseObsoleteLayouts(context, replaced->m_service);
    return result;
}

CommandResult applyBody(ApplyContext& context, const DrainOwnEndpoint& command)
{
    const auto& endpoints = context.m_state.m_published.m_endpoints;
    const auto endpoint = endpoints.find(command.m_endpoint);
    if (endpoint == endpoints.end() || endpoint->second.m_incarnation != command.m_incarnation)
        return refusal(ResultCode::UnknownName,
            "endpoint " + command.m_endpoint.value() + " is not registered with this incarnation");
    if (!endpoint->second.m_draining) {
        EndpointRecord drained = endpoint->second;
        drained.m_draining = true;
        context.change(std::move(drained));
    }
    return success();
}

CommandResult applyBody(ApplyContext& context, const RemoveEndpoints& command)
{
    ControlState& state = context.m_state;
    std::set<ServiceName> services;
    std::size_t removed = 0;
    for (const RemoveEndpoints::Target& target : command.m_targets) {
        if (!target.m_expired)
            recordLeftEndpoint(state, target);
        const auto position = state.m_published.m_endpoints.find(target.m_endpoint);
        if (position == state.m_published.m_endpoints.end() || position->second.m_incarnation != target.m_incarnation)
            continue;
        const EndpointRecord endpoint = position->second;
        services.insert(endpoint.m_service);
        eraseEndpoint(context, endpoint);
        ++removed;
    }
    for (const ServiceName& service : services)
        eraseObsoleteLayouts(context, service);
    return success(std::to_string(removed) + " endpoints removed");
}

} // namespace flamingo::detail
