#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>

namespace flamingo {

/** Timing and sizes of the replicated log; all members should use the same values. */
struct RaftOptions {
    Milliseconds m_heartbeat { 150 };
    // A leader without a majority of answers for this long steps down; a follower campaigns after this long
    // plus a heartbeat plus a random part. An election thus ends well before the 3 s leases do.
    Milliseconds m_electionTimeout { 700 };
    std::size_t m_maxAppendBytes = 1U << 20;
    std::size_t m_snapshotChunkBytes = 1U << 20;
    // Entries sent to a member ahead of its answers.
    std::uint64_t m_maxUnackedEntries = 1024;
    // Entries kept in memory behind the snapshot, so that a member that was away briefly needs no snapshot.
    std::uint64_t m_trailingEntries = 256;
};

} // namespace flamingo
