#include "request/requestexecution.h"

#include "base/hash.h"
#include "control/requestid.h"

#include <algorithm>

namespace flamingo {

namespace {

// A busy service is looked at again after this time.
constexpr Milliseconds busyPoll { 5 };
// Idempotent requests give up after this many calls, whatever the budget allows.
constexpr std::size_t maximumAttempts = 4;
constexpr unsigned httpOk = 200;

struct Step {
    RequestExecution& m_execution;
    RequestContext& m_context;
    MonotonicTime m_now;
    RequestEffects m_effects;
};

SettleClaim settlement(const Step& step, ClaimOutcome outcome, std::string answer = {})
{
    SettleClaim settle;
    settle.m_service = step.m_execution.m_request.m_service;
    settle.m_request = step.m_execution.m_request.m_id;
    settle.m_outcome = outcome;
    settle.m_answer = std::move(answer);
    settle.m_bodyHash = hashBytes(step.m_execution.m_request.m_body);
    return settle;
}

void finish(Step& step, ResultCode code, std::string text, std::string answer = {}, bool recorded = false)
{
    RequestExecution& execution = step.m_execution;
    execution.m_phase = RequestPhase::Finished;
    CallerAnswer result;
    result.m_code = code;
    result.m_text = std::move(text);
    result.m_id = execution.m_request.m_id;
    result.m_configurationVersion = step.m_context.m_routing.m_table.m_configurationVersion;
    result.m_answer = std::move(answer);
    result.m_recorded = recorded;
    result.m_retryAfter = execution.m_retryAfter;
    step.m_effects.emplace_back(FinishRequest { std::move(result) });
}

// The claim is given back first, so that the caller may claim the same request id again.
void finishNotRun(Step& step, ResultCode code, std::string text)
{
    if (step.m_execution.m_claimed)
        step.m_effects.emplace_back(settlement(step, ClaimOutcome::NotRun));
    finish(step, code, std::move(text));
}

void finishUnknown(Step& step, const std::string& cause)
{
    if (step.m_execution.m_claimed)
        step.m_effects.emplace_back(settlement(step, ClaimOutcome::Unknown));
    if (step.m_execution.m_idempotent)
        finish(step, ResultCode::EndpointFailed, cause);
    else
        finish(step, ResultCode::OutcomeUnknown, "outcome unknown, will not run again: " + cause);
}

void finishWithoutSend(Step& step, ResultCode code, const char* text)
{
    if (step.m_execution.m_mayHaveRun)
        finishUnknown(step, text);
    else
        finishNotRun(step, code, text);
}

// Endpoints that hold shard 0 of the newest snapshot that is complete, or of the fullest one.
const std::vector<EndpointIndex>* candidates(Step& step)
{
    const ServiceRoutes* service = findService(step.m_context.m_routing.m_table, step.m_execution.m_request.m_service);
    if (service == nullptr)
        return nullptr;
    const SnapshotRoutes* best = nullptr;
    for (const auto& [id, routes] : service->m_snapshots) {
        if (routes.m_replicas.empty() || routes.m_totalWeight == 0)
            continue;
        // m_snapshots begins with the newest, so only a fuller one replaces it.
        if (best == nullptr
            || routes.m_availableWeight * best->m_totalWeight > best->m_availableWeight * routes.m_totalWeight)
            best = &routes;
    }
    if (best == nullptr)
        return nullptr;
    step.m_execution.m_version = best->m_version;
    step.m_execution.m_layout = best->m_layout;
    return &best->m_replicas.front();
}

void sendTo(Step& step, EndpointIndex endpoint)
{
    RequestExecution& execution = step.m_execution;
    RoutingState& routing = step.m_context.m_routing;
    execution.m_attempts.push_back({ beginAttempt(routing, endpoint, false, step.m_now), endpoint });
    EndpointCall call;
    addressCall(routing, endpoint, call);
    call.m_path = "/shard/request";
    call.m_request = execution.m_request.m_id;
    call.m_attempt = AttemptNumber(static_cast<std::uint32_t>(execution.m_attempts.size()));
    call.m_snapshot = execution.m_version;
    call.m_layout = execution.m_layout;
    call.m_shard = ShardIndex(0);
    call.m_kind = execution.m_request.m_kind;
    call.m_body = execution.m_request.m_body;
    call.m_deadline = execution.m_deadline;
    call.m_freshConnection = !execution.m_idempotent;
    call.m_provenConnection = execution.m_idempotent && execution.m_attempts.size() > 1;
    step.m_effects.emplace_back(SendRequestCall { std::move(call) });
}

void waitUntil(Step& step, MonotonicTime at)
{
    step.m_effects.emplace_back(SetRequestTimer { std::min(at, step.m_execution.m_deadline) });
}

void trySend(Step& step)
{
    RequestExecution& execution = step.m_execution;
    if (!step.m_context.m_leaseValid)
        return finishWithoutSend(step, ResultCode::NoLease, "this VM lost its lease before the request was sent");
    if (step.m_now >= execution.m_deadline)
        return finishWithoutSend(step, ResultCode::DeadlineTooShort, "the deadline passed before the request was sent");
    const std::vector<EndpointIndex>* replicas = candidates(step);
    if (replicas == nullptr || replicas->empty())
        return finishWithoutSend(step, ResultCode::NoEndpoint, "no endpoint of the service is known");
    const EndpointChoice choice = chooseEndpoint(
        step.m_context.m_routing, { *replicas, execution.m_tried, true }, step.m_context.m_random, step.m_now);
    if (choice.m_endpoint)
        return sendTo(step, *choice.m_endpoint);
    if (choice.m_busy || choice.m_retryAt)
        return waitUntil(step, choice.m_retryAt.value_or(step.m_now + busyPoll));
    if (execution.m_refusedByEndpoint)
        return finishWithoutSend(step, ResultCode::EndpointRefused, "all endpoints refused the request");
    finishWithoutSend(step, ResultCode::NoEndpoint, "no endpoint of the service takes new work");
}

std::optional<Reason> checkRequest(Step& step)
{
    RequestExecution& execution = step.m_execution;
    const RoutingState& routing = step.m_context.m_routing;
    const ServiceRoutes* service = findService(routing.m_table, execution.m_request.m_service);
    if (service == nullptr)
        return Reason { ResultCode::UnknownService, "unknown service " + execution.m_request.m_service.value() };
    const auto kind = service->m_definition.m_kinds.find(execution.m_request.m_kind);
    if (kind == service->m_definition.m_kinds.end())
        return Reason { ResultCode::UnknownKind,
            "service " + execution.m_request.m_service.value() + " declares no request kind "
                + execution.m_request.m_kind };
    execution.m_idempotent = kind->second == Idempotence::Idempotent;
    Reason reason;
    if (!execution.m_idempotent && !requestIdSeconds(execution.m_request.m_id, reason))
        return reason;
    if (routing.m_state->m_quarantine.count(execution.m_fingerprint) > 0)
        return Reason { ResultCode::Quarantined, "the request crashed two endpoints and is quarantined" };
    execution.m_deadline = step.m_now + execution.m_request.m_deadline.value_or(service->m_definition.m_deadline);
    return std::nullopt;
}

void start(Step& step)
{
    RequestExecution& execution = step.m_execution;
    execution.m_fingerprint
        = requestFingerprint(execution.m_request.m_service, execution.m_request.m_kind, execution.m_request.m_body);
    if (const auto refused = checkRequest(step))
        return finish(step, refused->m_code, refused->m_text);
    if (!step.m_context.m_leaseValid)
        return finish(step, ResultCode::NoLease, "this VM holds no valid lease");
    if (execution.m_idempotent) {
        execution.m_phase = RequestPhase::Sending;
        earnExtraLoad(serviceStats(step.m_context.m_routing, execution.m_request.m_service).m_budget);
        return trySend(step);
    }
    execution.m_phase = RequestPhase::Claiming;
    OpenClaim claim;
    claim.m_service = execution.m_request.m_service;
    claim.m_request = execution.m_request.m_id;
    claim.m_bodyHash = hashBytes(execution.m_request.m_body);
    step.m_effects.emplace_back(AskClaim { std::move(claim) });
}

void takeClaim(Step& step, const CommandResult& result)
{
    RequestExecution& execution = step.m_execution;
    if (execution.m_phase != RequestPhase::Claiming)
        return;
    if (result.m_code != ResultCode::Ok)
        return finish(step, result.m_code, result.m_text);
    if (!result.m_claimOpened)
        return finish(step, ResultCode::Ok, {}, result.m_text, true);
    execution.m_claimed = true;
    execution.m_phase = RequestPhase::Sending;
    trySend(step);
}

void reportDeath(Step& step, const Attempt& attempt)
{
    RequestExecution& execution = step.m_execution;
    if (isKnownGood(step.m_context.m_fingerprints, execution.m_fingerprint))
        return;
    noteDeath(step.m_context.m_fingerprints, execution.m_fingerprint, attempt.m_endpointId, step.m_now);
    step.m_effects.emplace_back(ReportDeath {
        attempt.m_endpointId, attempt.m_incarnation, execution.m_request.m_service, { execution.m_fingerprint } });
}

void succeed(Step& step, std::string body)
{
    RequestExecution& execution = step.m_execution;
    if (noteSuccess(step.m_context.m_fingerprints, execution.m_fingerprint))
        step.m_effects.emplace_back(RequestSucceeded { execution.m_fingerprint });
    if (!execution.m_claimed)
        return finish(step, ResultCode::Ok, {}, std::move(body));
    // Success is reported once it is recorded, so that a resend through another VM gets this answer even if this
    // VM is lost.
    execution.m_phase = RequestPhase::Settling;
    execution.m_answer = body;
    step.m_effects.emplace_back(settlement(step, ClaimOutcome::Done, std::move(body)));
    waitUntil(step, execution.m_deadline);
}

// Takes the result of the settlement, or nothing at the deadline.
void finishSettling(Step& step, const RequestSettled* settled)
{
    std::string answer = std::move(step.m_execution.m_answer);
    if (settled != nullptr && settled->m_result.m_code == ResultCode::Ok)
        finish(step, ResultCode::Ok, {}, std::move(answer));
    else
        finish(step, ResultCode::StillRunning,
            "the request ran, but its answer is not recorded yet; send it again under the same request id",
            std::move(answer));
}

bool mayRetry(Step& step)
{
    RequestExecution& execution = step.m_execution;
    if (!execution.m_idempotent || execution.m_attempts.size() >= maximumAttempts)
        return false;
    return spendExtraLoad(serviceStats(step.m_context.m_routing, execution.m_request.m_service).m_budget);
}

bool matches(const RequestExecution& execution, AttemptNumber attempt, const EndpointReply& reply)
{
    return reply.m_request == execution.m_request.m_id && reply.m_attempt == attempt;
}

void takeReply(Step& step, RequestReplied event)
{
    RequestExecution& execution = step.m_execution;
    RequestAttempt& sent = execution.m_attempts.at(event.m_attempt.value() - 1);
    const EndpointReply& reply = event.m_reply;
    endAttempt(
        step.m_context.m_routing, execution.m_request.m_service, sent.m_attempt, verdictOf(reply), &reply, step.m_now);
    const bool answered = reply.m_outcome == CallOutcome::Answered;
    if (answered && reply.m_status == httpOk && matches(execution, event.m_attempt, reply))
        return succeed(step, std::move(event.m_reply.m_body));
    execution.m_tried.push_back(sent.m_endpoint);
    if (provesNotRun(reply)) {
        execution.m_refusedByEndpoint = execution.m_refusedByEndpoint || answered;
        execution.m_retryAfter = std::max(execution.m_retryAfter, reply.m_retryAfter);
        return trySend(step);
    }
    execution.m_mayHaveRun = true;
    if (reply.m_outcome == CallOutcome::ConnectionLost)
        reportDeath(step, sent.m_attempt);
    const std::string cause
        = answered ? "the endpoint answered with HTTP status " + std::to_string(reply.m_status) : reply.m_text;
    if (!mayRetry(step))
        return finishUnknown(step, cause.empty() ? "no whole answer came from the endpoint" : cause);
    trySend(step);
}

} // namespace

RequestExecution makeRequestExecution(ExecutionId id, CallerRequest request)
{
    RequestExecution execution;
    execution.m_id = id;
    execution.m_request = std::move(request);
    return execution;
}

RequestEffects stepRequest(RequestExecution& execution, RequestEvent event, RequestContext& context, MonotonicTime now)
{
    Step step { execution, context, now, {} };
    if (execution.m_phase == RequestPhase::Finished)
        return {};
    if (std::holds_alternative<RequestStarted>(event))
        start(step);
    else if (const auto* claim = std::get_if<ClaimAnswered>(&event))
        takeClaim(step, claim->m_result);
    else if (auto* replied = std::get_if<RequestReplied>(&event))
        takeReply(step, std::move(*replied));
    else if (execution.m_phase == RequestPhase::Settling)
        finishSettling(step, std::get_if<RequestSettled>(&event));
    else if (execution.m_phase == RequestPhase::Sending && std::holds_alternative<RequestTimer>(event))
        trySend(step);
    return std::move(step.m_effects);
}

} // namespace flamingo
