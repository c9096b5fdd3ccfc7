#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>

namespace flamingo {

/** Timing and size limits of the replicated log. All members should use the same values. */
struct RaftOptions {
    Milliseconds m_heartbeatInterval { 150 };
    // A leader steps down after this time without answers from a majority. A follower starts an election after this
    // time plus a heartbeat plus a random part. An election thus ends well before the 3 s leases expire.
    Milliseconds m_electionTimeout { 700 };
    // A voter without an answer to the leader for this time is unresponsive. Longer than a restart takes.
    Milliseconds m_voterResponseTimeout { 1500 };
    // Whether the leader removes unresponsive voters, so that VMs with other names can replace them.
    bool m_removesUnresponsiveVoters = false;
    // Number of members whose loss at the same time the group has to survive, data folders included; 0 if not known.
    std::size_t m_toleratedLosses = 0;
    std::size_t m_maxAppendBytes = 1U << 20;
    std::size_t m_snapshotChunkBytes = 1U << 20;
    // Maximum number of entries sent to a member before it acknowledges them.
    std::uint64_t m_maxUnackedEntries = 1024;
    // Entries kept in memory that the snapshot already contains, so that a member that was briefly unreachable can
    // catch up without a snapshot.
    std::uint64_t m_trailingEntries = 256;
};

} // namespace flamingo
