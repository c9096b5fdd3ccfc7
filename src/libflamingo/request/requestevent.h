#pragma once

#include "control/commandresult.h"
#include "routing/executionevents.h"

#include <variant>

namespace flamingo {

/** The first event of each execution. */
struct RequestStarted { };

/**
 * The OpenClaim of the execution has been applied, or refused before it could be.
 *
 * When the outcome of the command is unknown, the loop resends it under the same command id and passes
 * this event once the result is known, also after FinishRequest.
 */
struct ClaimDecided {
    // The claim was opened by this very command. Otherwise the result says why not: Ok with the recorded
    // answer of an earlier run, StillRunning, OutcomeUnknown, or a refusal.
    bool m_opened = false;
    CommandResult m_result;
};

using RequestEvent = std::variant<RequestStarted, ClaimDecided, CallReplied, TimerExpired, StateChanged, CapacityFreed,
    QuarantineDecided>;

} // namespace flamingo
