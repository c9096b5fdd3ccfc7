#pragma once

#include "base/ids.h"

#include <cstdint>
#include <vector>

namespace flamingo {

/** Identifies one partitioning of one snapshot of a service. */
struct LayoutKey {
    ServiceName m_service;
    SnapshotVersion m_version;
    LayoutId m_layout;

    friend bool operator==(const LayoutKey& a, const LayoutKey& b)
    {
        return a.m_service == b.m_service && a.m_version == b.m_version && a.m_layout == b.m_layout;
    }
    friend bool operator<(const LayoutKey& a, const LayoutKey& b)
    {
        if (a.m_service != b.m_service)
            return a.m_service < b.m_service;
        if (a.m_version != b.m_version)
            return a.m_version < b.m_version;
        return a.m_layout < b.m_layout;
    }
};

/**
 * Shards of one snapshot with their weights.
 *
 * The denominator of coverage is computed from the layout and not from the registered endpoints, because a lost shard
 * would otherwise raise the reported coverage.
 */
struct SnapshotLayout {
    LayoutKey m_key;
    std::vector<std::uint32_t> m_shardWeights; // weight of each shard, by shard index; at least 1
};

} // namespace flamingo
