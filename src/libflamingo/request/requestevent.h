#pragma once

#include "control/commandresult.h"
#include "routing/executionevents.h"

#include <variant>

namespace flamingo {

/** The first event of each execution. */
struct RequestStarted { };

/**
 * The OpenClaim of the execution has been applied, or was refused before it could be applied.
 *
 * While the outcome of the command is unknown, the loop resends it under the same command id. It passes this
 * event once the result is known, even after FinishRequest.
 */
struct ClaimDecided {
    bool m_opened = false; // this command opened the claim
    // Reason why this command did not open the claim: Ok with the recorded answer of an earlier run,
    // StillRunning, OutcomeUnknown, or a refusal.
    CommandResult m_result;
};

using RequestEvent = std::variant<RequestStarted, ClaimDecided, CallReplied, TimerExpired, StateChanged, CapacityFreed,
    QuarantineDecided>;

} // namespace flamingo
