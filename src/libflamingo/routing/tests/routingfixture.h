#pragma once

#include "routing/endpointchoice.h"
#include "routing/routingstate.h"

#include <string>

namespace flamingo::testing {

inline MonotonicTime at(std::int64_t milliseconds)
{
    return MonotonicTime {} + std::chrono::hours(1) + Milliseconds(milliseconds);
}

inline const ServiceName verses("verses");

inline EndpointRecord endpointRecord(const std::string& id, std::uint32_t shard, const std::string& dataCentre = "a")
{
    EndpointRecord record;
    record.m_id = EndpointId(id);
    record.m_service = verses;
    record.m_address = "127.0.0.1";
    record.m_port = 9000;
    record.m_dataCentre = DataCentreName(dataCentre);
    record.m_incarnation = Incarnation(1);
    record.m_holdings = { { SnapshotVersion(7), LayoutId(1), ShardIndex(shard) } };
    record.m_slots = 2;
    record.m_connections = 60;
    return record;
}

inline PublishedState stateWithShards(std::vector<std::uint32_t> weights)
{
    PublishedState state;
    state.m_revision = Revision(1);
    state.m_services[verses].m_name = verses;
    SnapshotLayout layout { { verses, SnapshotVersion(7), LayoutId(1) }, std::move(weights) };
    state.m_layouts[layout.m_key] = layout;
    state.m_vms[VmId("vm1")].m_id = VmId("vm1");
    return state;
}

inline void addEndpoint(PublishedState& state, const EndpointRecord& record)
{
    state.m_endpoints[record.m_id] = record;
}

inline RoutingState routingFor(const PublishedState& state, MonotonicTime now = at(0))
{
    RoutingSettings settings;
    settings.m_dataCentre = DataCentreName("a");
    settings.m_vm = VmId("vm1");
    RoutingState routing = makeRoutingState(settings);
    applyPublishedState(routing, std::make_shared<PublishedState>(state), now);
    return routing;
}

inline EndpointIndex indexOf(const RoutingState& routing, const std::string& id)
{
    return routing.m_table.m_positions.at(EndpointId(id));
}

inline EndpointStats& statsFor(RoutingState& routing, const std::string& id)
{
    return routing.m_endpoints[indexOf(routing, id).value()];
}

} // namespace flamingo::testing
