#pragma once

#include "base/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace flamingo {

/** One hit of a shard's answer and the position of its JSON text in the body. */
struct ScannedHit {
    double m_score = 0.0;
    std::string m_key;
    std::uint32_t m_offset = 0; // of the hit's JSON object, in bytes
    std::uint32_t m_length = 0; // in bytes
};

/**
 * Finds the hits in the body of a shard's answer: an array of {"score": number, "key": string, ...}.
 *
 * Parses without building a JSON tree. Keeps only the hit with the highest score for each key. Returns
 * nothing if the body is malformed: it is not an array of such objects, is not valid UTF-8, or is nested
 * more than 64 levels deep. Thread-safe.
 */
std::optional<std::vector<ScannedHit>> scanHits(const std::string& body);

/** Collects the hits of all answered shards of one snapshot. Each entry refers to a slice of a body. */
struct HitMerger {
    struct Entry {
        double m_score = 0.0;
        std::string m_key;
        std::uint32_t m_shard = 0;
        std::uint32_t m_bodyIndex = 0; // in m_bodies
        std::uint32_t m_offset = 0; // in the body, in bytes
        std::uint32_t m_length = 0; // in bytes
    };
    std::size_t m_limit = 100; // number of hits in the merged array
    std::vector<std::string> m_bodies;
    std::vector<Entry> m_entries;
};

/** Adds the hits of a shard's body. Returns false and adds nothing if the body is malformed. */
bool addShardHits(HitMerger& merger, ShardIndex shard, std::string body);

/** Returns the best m_limit hits as a JSON array, sorted by descending score, then by key and shard. */
std::string mergedHits(HitMerger& merger);

} // namespace flamingo
