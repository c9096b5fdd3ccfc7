#include "endpoint/hits.h"

#include "base/hash.h"

#include <algorithm>
#include <cstdio>
#include <utility>
#include <vector>

namespace flamingo::bench {

std::string shardHits(SnapshotVersion snapshot, ShardIndex shard, std::string_view body, std::uint32_t count)
{
    // Scores are whole millionths, so that each has one textual form and compares equal after parsing.
    constexpr std::uint64_t scoreSteps = 1000000;
    const std::uint64_t seed = hashBytes(body, snapshot.value() * 1000003 + shard.value());
    std::vector<std::pair<std::uint64_t, std::string>> hits;
    for (std::uint32_t i = 0; i < count; ++i) {
        const std::string key
            = "v" + std::to_string(snapshot.value()) + "-s" + std::to_string(shard.value()) + "-h" + std::to_string(i);
        hits.emplace_back(hashBytes(key, seed) % scoreSteps, key);
    }
    std::sort(hits.begin(), hits.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    std::string json = "[";
    for (const auto& [score, key] : hits) {
        char number[16];
        std::snprintf(number, sizeof number, "0.%06u", static_cast<unsigned>(score));
        json += json.size() > 1 ? "," : "";
        json += "{\"score\":" + std::string(number) + ",\"key\":\"" + key + "\",\"data\":{\"snapshot\":"
            + std::to_string(snapshot.value()) + ",\"shard\":" + std::to_string(shard.value()) + "}}";
    }
    return json + "]";
}

} // namespace flamingo::bench
