#pragma once

#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace flamingo {

/** One hit of a shard's answer, with the place of its text in the body. */
struct ScannedHit {
    double m_score = 0.0;
    std::string m_key;
    std::uint32_t m_offset = 0;
    std::uint32_t m_length = 0;
};

/**
 * Finds the hits in the body of a shard's answer: an array of {"score": number, "key": string, ...}.
 *
 * Builds no JSON tree. Of hits with the same key the one with the highest score remains. Returns
 * nothing for a malformed body: no array of such objects, invalid UTF-8, or nesting beyond 64 levels.
 * Thread-safe.
 */
std::optional<std::vector<ScannedHit>> scanHits(const std::string& body);

/** Hits of the answered shards of one snapshot, as text slices of the bodies. */
struct HitMerger {
    struct Entry {
        double m_score = 0.0;
        std::string m_key;
        std::uint32_t m_shard = 0;
        std::uint32_t m_body = 0; // position in m_bodies
        std::uint32_t m_offset = 0;
        std::uint32_t m_length = 0;
    };
    std::size_t m_limit = 100;
    std::vector<std::string> m_bodies;
    std::vector<Entry> m_entries;
};

/** Adds the hits of a shard's body. Returns false, and adds nothing, when the body is malformed. */
bool addShardHits(HitMerger& merger, ShardIndex shard, std::string body);

/** Returns the best hits as a JSON array, by descending score and then by key and shard. */
std::string mergedHits(HitMerger& merger);

} // namespace flamingo
