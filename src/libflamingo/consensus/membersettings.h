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

/** What a control VM's settings say about its part in the replicated log. */
struct MemberSettings {
    std::string m_folder; // data folder of the log; created if absent
    VmId m_vm;
    std::string m_address; // IP address and port at which the other members reach this one
    std::vector<InitialMember> m_initialMembers;
    bool m_bootstrapAllowed = false; // it suffices that one of the initial members allows it
    // VMs that are not listed may join; one of an even number of voters that falls silent is then removed, so that
    // a replacement at another address takes over its vote. A removed member rejoins with an empty data folder.
    bool m_openMembership = false;
    // Must be unpredictable: the incarnation in the member id and the election timeouts are derived from it.
    std::uint64_t m_seed = 0;
    // A snapshot of the state is due after this many applied entries. Writing it holds up the log, so one that is
    // larger than m_cheapSnapshotBytes waits until the entries are as large as the last one; its cost then does not
    // grow with the state. After m_longestSnapshotInterval entries it is due in any case, for their memory.
    std::uint64_t m_snapshotInterval = 256;
    std::uint64_t m_cheapSnapshotBytes = 65536;
    std::uint64_t m_longestSnapshotInterval = 32768;
    std::size_t m_maxEntryBytes = std::size_t(4) << 20U;
    std::size_t m_maxUncommittedEntries = 8192;
    RaftOptions m_raft;
    StorageHooks m_storage;
};

} // namespace flamingo
