#pragma once

#include "control/command.h"
#include "control/commandresult.h"
#include "control/controlstate.h"
#include "control/messages.h"

#include <chrono>
#include <cstddef>
#include <vector>

namespace flamingo {

// Request ids carry their time; a claim is kept this long after it. An older id is refused, so that
// a forgotten claim cannot be opened again.
constexpr std::chrono::hours claimWindow { 24 };
// Clocks of callers may be ahead of log time by this much.
constexpr std::chrono::minutes claimClockAllowance { 5 };
// Memory of all claims together as claimBytes() counts it.
constexpr std::size_t maximumClaimBytes = std::size_t { 64 } * 1024 * 1024;
constexpr std::size_t maximumAnswerBytes = std::size_t { 64 } * 1024;

// Results of operator commands kept for resends: twice the 15,000 changes of a day at target scale.
constexpr std::chrono::hours resultWindow { 24 };
constexpr std::size_t maximumResults = 32768;

constexpr std::chrono::hours quarantinePeriod { 1 };
constexpr std::size_t deathsToQuarantine = 2; // of distinct endpoints
// Evidence older than the quarantine period is dropped; beyond this number the oldest goes first.
constexpr std::size_t maximumSuspects = 10000;

// A departed VM counts for connection shares this long, since a frozen process keeps its sockets.
constexpr std::chrono::seconds departedVmRetention { 60 };
// A delayed registration of an endpoint that left is refused for this long.
constexpr std::chrono::minutes leftEndpointRetention { 10 };
// Unheld layouts kept for each service while no newer snapshot is complete.
constexpr std::size_t maximumUnheldLayouts = 64;

/**
 * Applies one command of the log and appends the changes of the published state.
 *
 * Deterministic: equal states and commands give equal states, results and changes. The revision grows
 * by one when a published record changed or an operator command succeeded, and then the changes of
 * this call lead from the revision before to the one after. Not thread-safe for one state.
 */
CommandResult apply(ControlState& state, const Command& command, std::vector<Change>& changes);

/** Returns whether the command comes from an operator and so needs a command id. Thread-safe. */
bool isOperatorCommand(const CommandBody& body);

/** Returns the memory that a claim is counted with. Thread-safe. */
std::size_t claimBytes(const ClaimKey& key, const ClaimRecord& claim);

} // namespace flamingo
