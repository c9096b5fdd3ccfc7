#pragma once

#include "base/ids.h"
#include "consensus/initialmember.h"
#include "consensus/raftoptions.h"
#include "consensus/storagehooks.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace flamingo {

/** Settings of a control VM's member of the replicated log. */
struct MemberSettings {
    std::string m_folder; // data folder of the log; created if absent
    VmId m_vm;
    std::string m_address; // IP address and port at which the other members reach this one
    std::vector<InitialMember> m_initialMembers;
    bool m_bootstrapAllowed = false; // a new cluster may form if one of the initial members allows it
    // Allows VMs that are not initial members to join, and sets RaftOptions::m_removesUnresponsiveVoters.
    bool m_openMembership = false;
    // Id under which the cluster removed this member. If the data folder still has it, a new id replaces it.
    MemberId m_removedId;
    // Seed of the incarnation in the member id and of the election timeouts. Must be unpredictable.
    std::uint64_t m_seed = 0;
    // Minimum number of applied entries between two snapshots. Writing a snapshot blocks the log. If the last snapshot
    // was larger than m_smallSnapshotBytes, the next one therefore waits until the entries applied since then are as
    // large as the last snapshot, which keeps its cost in proportion to the entries. After m_maxSnapshotInterval
    // entries a snapshot is always taken, to limit the memory that the entries use.
    std::uint64_t m_snapshotInterval = 256;
    std::uint64_t m_smallSnapshotBytes = 65536;
    std::uint64_t m_maxSnapshotInterval = 32768;
    std::size_t m_maxEntryBytes = std::size_t(4) << 20U;
    std::size_t m_maxUncommittedEntries = 8192;
    RaftOptions m_raft;
    StorageHooks m_storageHooks;
};

/**
 * Returns the settings with which a member that the cluster has removed is opened again, to join under a new id.
 *
 * The member keeps its log, term and snapshot. They tell it the addresses of the cluster, and they tell the initial
 * members that a cluster exists, so that none forms a second one. A log from before the removal is no danger to the
 * cluster: the leader replaces entries that differ from its own, and nothing acknowledged under the old id counts for
 * the new one. Thread-safe.
 */
MemberSettings rejoinSettings(MemberSettings settings, const MemberId& removed);

} // namespace flamingo
