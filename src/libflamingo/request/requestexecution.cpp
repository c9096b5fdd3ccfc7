#include "request/requestexecution.h"

#include "base/hash.h"
#include "request/requestid.h"
#include "request/requeststep.h"

#include <algorithm>

namespace flamingo {

namespace detail {

namespace {

void startRequest(RequestStep& step)
{
    RequestExecution& execution = step.m_execution;
    const CallerRequest& request = execution.m_request;
    execution.m_startedAt = step.m_now;
    execution.m_deadline = step.m_now;
    execution.m_fingerprint = requestFingerprint(request.m_service, request.m_kind, request.m_body);
    if (!step.m_context.m_leaseValid)
        return refuseRequest(step, ResultCode::NoLease, "this VM holds no valid lease");
    const ServiceRoutes* service = step.service();
    if (!service)
        return finishRequest(step, ResultCode::UnknownService, "unknown service \"" + request.m_service.value() + "\"");
    const auto kind = service->m_definition.m_kinds.find(request.m_kind);
    if (kind == service->m_definition.m_kinds.end())
        return finishRequest(step, ResultCode::UnknownKind,
            "the service \"" + request.m_service.value() + "\" declares no request kind \"" + request.m_kind + "\"");
    execution.m_idempotent = kind->second == Idempotence::Idempotent;
    Reason reason;
    if (!execution.m_idempotent && !isRequestIdCurrent(request.m_id, step.m_context.m_logTime, reason))
        return finishRequest(step, reason.m_code, reason.m_text);
    if (step.isQuarantined()
        || canaryRestriction(step.m_context.m_fingerprints, execution.m_fingerprint, step.m_now)
            == CanaryRestriction::Refuse)
        return refuseRequest(step, ResultCode::Quarantined, "the request crashed two endpoints");
    const Milliseconds deadline = request.m_deadline.value_or(service->m_definition.m_deadline);
    if (deadline <= Milliseconds(0))
        return refuseRequest(step, ResultCode::DeadlineTooShort, "the deadline must be at least 1 ms");
    execution.m_deadline = step.m_now + std::min(deadline, step.m_context.m_settings.m_maxDeadline);
    if (!execution.m_idempotent)
        return openClaim(step);
    execution.m_phase = RequestPhase::Sending;
    advanceRequest(step);
}

void armTimer(RequestStep& step)
{
    RequestExecution& execution = step.m_execution;
    if (execution.m_phase == RequestPhase::Finished)
        return;
    MonotonicTime next = execution.m_deadline;
    if (execution.m_nextActionAt)
        next = std::min(next, *execution.m_nextActionAt);
    if (execution.m_timerAt && *execution.m_timerAt <= next)
        return;
    execution.m_timerAt = next;
    step.m_effects.emplace_back(SetTimer { next });
}

struct EventVisitor {
    RequestStep& m_step;

    void operator()(RequestStarted&)
    {
        if (m_step.m_execution.m_phase == RequestPhase::Idle)
            startRequest(m_step);
    }
    void operator()(ClaimDecided& event) { handleClaimDecision(m_step, event); }
    void operator()(CallReplied& event) { handleReply(m_step, std::move(event)); }
    void operator()(TimerExpired&)
    {
        m_step.m_execution.m_timerAt.reset();
        if (m_step.m_execution.m_nextActionAt && *m_step.m_execution.m_nextActionAt <= m_step.m_now) {
            m_step.m_execution.m_nextActionAt.reset();
            advanceRequest(m_step);
        }
    }
    void operator()(StateChanged&) { advanceRequest(m_step); }
    void operator()(CapacityFreed& event)
    {
        advanceRequest(m_step);
        // Wakes the next waiting execution if this one did not use the capacity.
        RoutingState& routing = m_step.m_context.m_routing;
        const auto next = nextWaiting(routing, event.m_endpoint);
        if (next && *next != m_step.m_execution.m_id && canTakeCall(routing, event.m_endpoint, m_step.m_now))
            m_step.m_effects.emplace_back(WakeExecution { *next, event.m_endpoint });
    }
    void operator()(QuarantineDecided& event)
    {
        ++m_step.m_execution.m_appliedReports;
        if (event.m_quarantined && m_step.m_execution.m_openCalls == 0)
            return refuseRequest(
                m_step, ResultCode::Quarantined, "the request crashed two endpoints and is quarantined");
        if (m_step.m_execution.m_appliedReports >= m_step.m_execution.m_reportedDeaths)
            m_step.m_execution.m_notBefore = MonotonicTime {};
        advanceRequest(m_step);
    }
};

} // namespace

const ServiceRoutes* RequestStep::service() const
{
    return findService(m_context.m_routing.m_table, m_execution.m_request.m_service);
}

ServiceStats& RequestStep::stats() const { return serviceStats(m_context.m_routing, m_execution.m_request.m_service); }

Microseconds RequestStep::hedgeAfter() const { return hedgeDelay(stats().m_latency, m_context.m_routing.m_settings); }

bool RequestStep::isQuarantined() const
{
    return m_context.m_routing.m_state->m_quarantine.count(m_execution.m_fingerprint) > 0;
}

void finishRequest(RequestStep& step, ResultCode code, std::string text)
{
    RequestExecution& execution = step.m_execution;
    if (execution.m_phase == RequestPhase::Finished)
        return;
    execution.m_phase = RequestPhase::Finished;
    FinishRequest finish;
    finish.m_answer.m_code = code;
    finish.m_answer.m_text = std::move(text);
    finish.m_answer.m_id = execution.m_request.m_id;
    finish.m_answer.m_configurationVersion = step.m_context.m_routing.m_table.m_configurationVersion;
    if (resultClass(code) == ResultClass::NotRun)
        finish.m_answer.m_retryAfter = execution.m_shedRetryAfter;
    step.m_effects.emplace_back(std::move(finish));
}

void refuseRequest(RequestStep& step, ResultCode code, const std::string& text)
{
    if (step.m_execution.m_phase == RequestPhase::Finished)
        return;
    cancelAllCalls(step);
    // Only idempotent requests are refused after an endpoint may have started them; others end as OutcomeUnknown.
    if (step.mayHaveRun())
        return finishRequest(step, ResultCode::EndpointFailed, "failed: " + text);
    settleClaim(step, ClaimOutcome::NotRun, {});
    finishRequest(step, code, "not run: " + text);
}

} // namespace detail

RequestExecution makeRequestExecution(ExecutionId id, CallerRequest request)
{
    RequestExecution execution;
    execution.m_id = id;
    execution.m_request = std::move(request);
    return execution;
}

RequestEffects stepRequest(RequestExecution& execution, RequestEvent event, RequestContext& context, MonotonicTime now)
{
    detail::RequestStep step { execution, context, now, {} };
    if (execution.m_phase == RequestPhase::Finished && std::holds_alternative<CallReplied>(event)) {
        ++step.stats().m_counters.m_droppedReplies;
        return {};
    }
    if (execution.m_phase == RequestPhase::Finished && !std::holds_alternative<ClaimDecided>(event))
        return {};
    std::visit(detail::EventVisitor { step }, event);
    const bool active = execution.m_phase == RequestPhase::Claiming || execution.m_phase == RequestPhase::Sending;
    if (active && now >= execution.m_deadline)
        detail::expireRequest(step);
    detail::armTimer(step);
    return std::move(step.m_effects);
}

bool isRequestOver(const RequestExecution& execution)
{
    return execution.m_phase == RequestPhase::Finished && !execution.m_claimPending && !execution.m_claimOpen;
}

} // namespace flamingo
