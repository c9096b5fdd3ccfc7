#pragma once

#include "request/calleranswer.h"
#include "routing/executioneffects.h"

#include <variant>
#include <vector>

namespace flamingo {

/** Answers the caller. The execution may still wait for the result of its OpenClaim; see isRequestOver(). */
struct FinishRequest {
    CallerAnswer m_answer;
};

/**
 * Action that the event loop carries out for a request execution.
 *
 * OpenClaim is a command that the loop proposes under a new command id; its result is passed back as
 * ClaimDecided. SettleClaim is a command that the loop proposes until it is applied or this VM's lease ends; it
 * precedes the FinishRequest with the same outcome.
 */
using RequestEffect = std::variant<OpenClaim, SettleClaim, SendCall, CancelCall, SetTimer, FinishRequest, ReportDeath,
    MarkSuccess, WakeExecution>;
using RequestEffects = std::vector<RequestEffect>;

} // namespace flamingo
