#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace flamingo {

/** One shard of one snapshot that an endpoint holds. */
struct ShardHolding {
    SnapshotVersion m_version;
    LayoutId m_layout;
    ShardIndex m_shard;
};

/** An endpoint as announced in its registration. */
struct EndpointRecord {
    EndpointId m_id;
    ServiceName m_service;
    std::string m_address; // IP address
    std::uint16_t m_port = 0;
    DataCentreName m_dataCentre;
    Incarnation m_incarnation;
    std::vector<ShardHolding> m_holdings;
    std::uint32_t m_slots = 1; // number of requests it runs concurrently
    std::uint32_t m_connections = 1; // number of connections it accepts from all entry VMs together
    bool m_draining = false; // drained by the endpoint itself
    bool m_routed = false; // serves a service of the routes and holds no shards of a snapshot
    Revision m_registeredIn; // revision of its last registration
};

} // namespace flamingo
