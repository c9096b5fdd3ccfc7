#include "base/hash.h"
#include "request/requeststep.h"

namespace flamingo::detail {

namespace {

// The kind is part of the hash, so that an id cannot be reused for another kind with the same body.
std::uint64_t hashOfRequest(const CallerRequest& request)
{
    return hashBytes(request.m_body, hashBytes(request.m_kind));
}

void answerFromClaim(RequestStep& step, const CommandResult& result)
{
    RequestExecution& execution = step.m_execution;
    switch (result.m_code) {
    case ResultCode::Ok: {
        FinishRequest finish;
        finish.m_answer.m_id = execution.m_request.m_id;
        finish.m_answer.m_recorded = true;
        finish.m_answer.m_answer = result.m_text;
        finish.m_answer.m_text = result.m_text.empty()
            ? "an earlier run of this request id succeeded; its answer was not recorded"
            : "an earlier run of this request id succeeded; this is its recorded answer";
        finish.m_answer.m_configurationVersion = step.m_context.m_routing.m_table.m_configurationVersion;
        execution.m_phase = RequestPhase::Finished;
        step.m_effects.emplace_back(std::move(finish));
        return;
    }
    case ResultCode::StillRunning:
        return finishRequest(step, result.m_code, "an earlier run of this request id is still running");
    case ResultCode::OutcomeUnknown:
        return finishRequest(
            step, result.m_code, "the outcome of an earlier run of this request id is unknown; it will not run again");
    default:
        return finishRequest(step, result.m_code,
            result.m_text.empty() ? "not run: the request id could not be claimed" : result.m_text);
    }
}

} // namespace

void openClaim(RequestStep& step)
{
    RequestExecution& execution = step.m_execution;
    OpenClaim claim;
    claim.m_service = execution.m_request.m_service;
    claim.m_request = execution.m_request.m_id;
    claim.m_bodyHash = hashOfRequest(execution.m_request);
    claim.m_vm = step.m_context.m_vm;
    claim.m_vmIncarnation = step.m_context.m_vmIncarnation;
    execution.m_phase = RequestPhase::Claiming;
    execution.m_claimPending = true;
    step.m_effects.emplace_back(std::move(claim));
}

void handleClaimDecision(RequestStep& step, const ClaimDecided& event)
{
    RequestExecution& execution = step.m_execution;
    if (!execution.m_claimPending)
        return;
    execution.m_claimPending = false;
    execution.m_claimOpen = event.m_opened;
    if (execution.m_phase != RequestPhase::Claiming) {
        // The caller was told that the request has not run. Settling the claim as not run lets it send the request
        // again.
        settleClaim(step, ClaimOutcome::NotRun, {});
        return;
    }
    if (!event.m_opened)
        return answerFromClaim(step, event.m_result);
    execution.m_phase = RequestPhase::Sending;
    advanceRequest(step);
}

void settleClaim(RequestStep& step, ClaimOutcome outcome, const std::string& answer)
{
    RequestExecution& execution = step.m_execution;
    if (!execution.m_claimOpen)
        return;
    execution.m_claimOpen = false;
    SettleClaim settle;
    settle.m_service = execution.m_request.m_service;
    settle.m_request = execution.m_request.m_id;
    settle.m_vm = step.m_context.m_vm;
    settle.m_vmIncarnation = step.m_context.m_vmIncarnation;
    settle.m_outcome = outcome;
    if (answer.size() <= step.m_context.m_settings.m_maxRecordedAnswer)
        settle.m_answer = answer;
    step.m_effects.emplace_back(std::move(settle));
}

} // namespace flamingo::detail
