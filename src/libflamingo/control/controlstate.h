#pragma once

#include "control/claimrecord.h"
#include "control/publishedstate.h"
#include "control/storedresult.h"
#include "control/suspectrecord.h"

#include <cstdint>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace flamingo {

/** An endpoint that left by itself; its incarnation cannot register again. */
struct LeftEndpoint {
    Incarnation m_incarnation;
    LogTime m_at;
};

/** Which shards of a layout have a registered holder. */
struct LayoutUse {
    std::vector<std::uint32_t> m_holders; // endpoints for each shard
    std::uint32_t m_coveredShards = 0;
    std::uint64_t m_totalHolders = 0;
};

/**
 * The replicated state: a plain value that apply() changes and that is the same on every control VM
 * after the same log entries.
 */
struct ControlState {
    PublishedState m_published;
    LogTime m_logTime; // greatest proposal time applied so far
    std::map<ClaimKey, ClaimRecord> m_claims;
    std::map<CommandId, StoredResult> m_results;
    std::uint64_t m_lastResultNumber = 0;
    std::map<Fingerprint, SuspectRecord> m_suspects;
    std::map<EndpointId, LeftEndpoint> m_leftEndpoints;
    std::string m_routesDocument; // the route configuration in force as the operator sent it

    // Derived from the members above by rebuildIndexes(); not part of a snapshot.
    std::uint64_t m_claimBytes = 0;
    std::map<std::pair<VmId, Incarnation>, std::set<ClaimKey>> m_openClaims;
    std::map<std::uint64_t, CommandId> m_resultOrder;
    std::set<std::pair<LogTime, Fingerprint>> m_suspectOrder;
    std::set<std::pair<LogTime, EndpointId>> m_leftOrder;
    std::map<LayoutKey, LayoutUse> m_layoutUse;
    LogTime m_nextQuarantineExpiry; // no quarantine ends before this time
};

/** Recomputes the derived members, for a state read from a snapshot. Not thread-safe for one state. */
void rebuildIndexes(ControlState& state);

} // namespace flamingo
