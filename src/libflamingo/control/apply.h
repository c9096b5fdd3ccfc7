#pragma once

#include "control/command.h"
#include "control/commandresult.h"
#include "control/controlstate.h"
#include "control/messages.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace flamingo {

// Retention of claims, counted from the time in the request id. Older request ids are refused, so that a
// request cannot run again after its claim was dropped.
constexpr std::chrono::hours claimWindow { 24 };
// Request ids may be ahead of log time by this much, for callers whose clocks run fast.
constexpr std::chrono::minutes maxClaimClockSkew { 5 };
// Limit on the memory of all claims together, as computed by claimBytes().
constexpr std::size_t maxClaimBytes = std::size_t { 64 } * 1024 * 1024;
// Size limit of an answer that is kept with its claim.
constexpr std::size_t maxAnswerBytes = std::size_t { 64 } * 1024;

// Results of operator commands are kept for resends. The limit is about twice the 15,000 changes per day at
// target scale.
constexpr std::chrono::hours resultWindow { 24 };
constexpr std::size_t maxResults = 32768;

constexpr std::chrono::hours quarantinePeriod { 1 };
// A request is quarantined once this many distinct endpoints crashed while it was in flight.
constexpr std::size_t quarantineThreshold = 2;
// Suspect records expire after the quarantine period. When there are more than this, the oldest are erased.
constexpr std::size_t maxSuspects = 10000;

// A departed VM keeps its share of the connections this long, because a frozen process keeps its sockets open.
constexpr std::chrono::seconds departedVmRetention { 60 };
// An incarnation of an endpoint that left cannot register again for this long, so that a delayed registration
// does not bring it back.
constexpr std::chrono::minutes leftEndpointRetention { 10 };
// Number of layouts without holders that are kept for each service while no newer snapshot is complete.
constexpr std::size_t maxUnheldLayouts = 64;

/**
 * Applies one command of the log and replaces the contents of changes by the changes of the published state.
 *
 * Deterministic: equal states and commands give equal states, results and changes. The revision grows
 * by one if a published record changed or an operator command succeeded; the changes then lead from the
 * previous revision to the new one. Not thread-safe for one state.
 */
CommandResult apply(ControlState& state, const Command& command, std::vector<Change>& changes);

/** Returns whether the command is an operator command, which needs a command id. Thread-safe. */
bool isOperatorCommand(const CommandBody& body);

/** Returns the estimated memory of a claim in bytes, which counts towards maxClaimBytes. Thread-safe. */
std::size_t claimBytes(const ClaimKey& key, const ClaimRecord& claim);

} // namespace flamingo
