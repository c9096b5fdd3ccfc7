#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace flamingo::bench {

/**
 * Returns the hits of one shard as a JSON array, highest score first; equal snapshot, shard and body give equal hits.
 *
 * Each key contains the snapshot and the shard, so that a test can tell where a hit came from.
 */
std::string shardHits(SnapshotVersion snapshot, ShardIndex shard, std::string_view body, std::uint32_t count);

} // namespace flamingo::bench
