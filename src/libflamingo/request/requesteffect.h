#pragma once

#include "request/calleranswer.h"
#include "routing/executioneffects.h"

#include <variant>
#include <vector>

namespace flamingo {

/** Answers the caller. The execution may still wait for the result of its claim; see isRequestOver(). */
struct FinishRequest {
    CallerAnswer m_answer;
};

// OpenClaim is the command to propose under a command id of its own; its result comes back as
// ClaimDecided. SettleClaim is to be proposed until it is applied or this VM's lease ends; it comes before
// the FinishRequest that states the same outcome.
using RequestEffect = std::variant<OpenClaim, SettleClaim, SendCall, CancelCall, SetTimer, FinishRequest, ReportDeath,
    MarkSuccess, WakeExecution>;
using RequestEffects = std::vector<RequestEffect>;

} // namespace flamingo
