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

/**
 * An endpoint that left by itself; its incarnation cannot register again.
 *
 * Under a reserved id, see decideExpiry(), it is an incarnation whose registration expired, which can.
 */
struct LeftEndpoint {
    Incarnation m_incarnation;
    LogTime m_at; // time at which it left
};

/** Counts of the endpoints that hold the shards of a layout. */
struct LayoutUse {
    std::vector<std::uint32_t> m_holders; // number of endpoints that hold each shard
    std::uint32_t m_coveredShards = 0; // number of shards with at least one holder
    std::uint64_t m_totalHolders = 0; // sum of m_holders
};

/**
 * The replicated state: a plain value, changed by apply() and equal on all control VMs after the same log entries.
 */
struct ControlState {
    PublishedState m_published;
    LogTime m_logTime; // greatest proposal time of the applied commands
    std::map<ClaimKey, ClaimRecord> m_claims;
    std::map<CommandId, StoredResult> m_results;
    std::uint64_t m_lastResultNumber = 0;
    std::map<Fingerprint, SuspectRecord> m_suspects;
    std::map<EndpointId, LeftEndpoint> m_leftEndpoints;
    std::string m_routesDocument; // text of the current route configuration as the operator sent it

    // Derived from the members above by rebuildIndexes(); not part of a snapshot.
    std::uint64_t m_claimBytes = 0; // sum of claimBytes() of all claims
    std::map<std::pair<VmId, Incarnation>, std::set<ClaimKey>> m_openClaims;
    std::map<std::uint64_t, CommandId> m_resultsByNumber;
    std::set<std::pair<LogTime, Fingerprint>> m_suspectsByTime;
    std::set<std::pair<LogTime, EndpointId>> m_leftEndpointsByTime;
    std::map<LayoutKey, LayoutUse> m_layoutUse;
    LogTime m_nextQuarantineExpiry; // no quarantine expires before this time
};

/** Recomputes the derived members, for a state read from a snapshot. Not thread-safe for one state. */
void rebuildIndexes(ControlState& state);

} // namespace flamingo
