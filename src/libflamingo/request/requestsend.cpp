#include "request/requeststep.h"

#include <algorithm>

namespace flamingo::detail {

namespace {

// Returns the newest snapshot with a complete layout, or else the newest one with a replica for shard 0, or null.
// Requests are sent to shard 0.
const SnapshotRoutes* targetSnapshot(const RequestStep& step)
{
    const ServiceRoutes* service = step.service();
    if (!service)
        return nullptr;
    const auto& endpoints = step.m_context.m_routing.m_table.m_endpoints;
    const SnapshotRoutes* partial = nullptr;
    for (const auto& [id, snapshot] : service->m_snapshots) {
        if (snapshot.m_replicas.empty())
            continue;
        if (snapshot.m_availableWeight == snapshot.m_totalWeight)
            return &snapshot;
        const auto& replicas = snapshot.m_replicas.front();
        const bool usable = std::any_of(replicas.begin(), replicas.end(),
            [&](EndpointIndex index) { return !endpoints[index.value()].m_draining; });
        if (usable && !partial)
            partial = &snapshot;
    }
    return partial;
}

MonotonicTime callDeadline(const RequestStep& step)
{
    const RequestSettings& settings = step.m_context.m_settings;
    const RequestExecution& execution = step.m_execution;
    const auto total = execution.m_deadline - execution.m_startedAt;
    const auto margin = std::chrono::duration_cast<MonotonicTime::duration>(total * settings.m_replyMarginFraction);
    return execution.m_deadline
        - std::min<MonotonicTime::duration>(margin, MonotonicTime::duration(settings.m_maxReplyMargin));
}

ShardHolding holdingOf(const RequestExecution& execution)
{
    return { execution.m_version, execution.m_layout, ShardIndex(0) };
}

void stopWaitingForReplica(RequestStep& step)
{
    RequestExecution& execution = step.m_execution;
    if (!execution.m_waiting)
        return;
    execution.m_waiting = false;
    stopWaiting(step.m_context.m_routing, execution.m_request.m_service, holdingOf(execution), execution.m_id);
    const auto waited = std::chrono::duration_cast<Microseconds>(step.m_now - execution.m_waitingSince);
    execution.m_longestWait = std::max(execution.m_longestWait, waited);
}

void scheduleActionAt(RequestStep& step, MonotonicTime at)
{
    auto& next = step.m_execution.m_nextActionAt;
    next = next ? std::min(*next, at) : at;
}

// Returns whether the request may be sent to a further endpoint now, which it might crash. Only an idempotent request
// is sent more than once; after a lost connection it waits for the quarantine decision, and after two it ends.
bool mayRiskEndpoint(const RequestStep& step)
{
    const RequestExecution& execution = step.m_execution;
    if (!execution.m_idempotent)
        return execution.m_openCalls == 0 && !step.mayHaveRun();
    const CanaryRestriction restriction
        = canaryRestriction(step.m_context.m_fingerprints, execution.m_fingerprint, step.m_now);
    if (restriction != CanaryRestriction::None && execution.m_openCalls > 0)
        return false;
    return execution.m_lostConnections + execution.m_openCalls < step.m_context.m_settings.m_maxEndpointsAtRisk
        && execution.m_openCalls < step.m_context.m_settings.m_maxCallsInFlight;
}

bool chargeCall(RequestStep& step, bool& tokenSpent)
{
    ExtraLoadBudget& budget = step.stats().m_budget;
    RequestExecution& execution = step.m_execution;
    tokenSpent = false;
    if (execution.m_freeSends > 0) {
        --execution.m_freeSends;
        if (execution.m_attempts.empty())
            earnExtraLoad(budget);
        return true;
    }
    tokenSpent = spendExtraLoad(budget);
    return tokenSpent;
}

void sendRequest(RequestStep& step, EndpointIndex endpoint)
{
    RequestExecution& execution = step.m_execution;
    RoutingCounters& counters = step.stats().m_counters;
    bool tokenSpent = false;
    if (!chargeCall(step, tokenSpent)) {
        stopWaitingForReplica(step);
        return scheduleActionAt(step, step.m_now + step.m_context.m_settings.m_waitPollInterval);
    }
    const bool hedge = execution.m_openCalls > 0;
    ++(!tokenSpent ? counters.m_firstAttempts : hedge ? counters.m_hedges : counters.m_retries);
    stopWaitingForReplica(step);
    const bool suspect = step.m_context.m_fingerprints.m_suspects.count(execution.m_fingerprint) > 0;
    Attempt attempt = beginAttempt(step.m_context.m_routing, endpoint, suspect, step.m_now);
    attempt.m_tokenSpent = tokenSpent;
    execution.m_attempts.push_back(attempt);
    execution.m_tried.push_back(endpoint);
    ++execution.m_openCalls;

    SendCall send;
    EndpointCall& call = send.m_call;
    setCallAddress(step.m_context.m_routing, endpoint, call);
    call.m_path = "/shard/request";
    call.m_request = execution.m_request.m_id;
    call.m_attempt = AttemptNumber(static_cast<std::uint32_t>(execution.m_attempts.size()));
    call.m_snapshot = execution.m_version;
    call.m_layout = execution.m_layout;
    call.m_kind = execution.m_request.m_kind;
    call.m_body = execution.m_request.m_body;
    call.m_deadline = callDeadline(step);
    call.m_dedicatedConnection = !execution.m_idempotent;
    call.m_recentlyActiveConnection = execution.m_idempotent && execution.m_attempts.size() > 1;
    send.m_isHedge = hedge;
    step.m_effects.emplace_back(std::move(send));
    if (execution.m_idempotent)
        scheduleActionAt(step, step.m_now + step.hedgeAfter());
}

void closeAttempt(RequestStep& step, Attempt& attempt, CallVerdict verdict, const EndpointReply* reply)
{
    RequestExecution& execution = step.m_execution;
    endAttempt(step.m_context.m_routing, execution.m_request.m_service, attempt, verdict, reply, step.m_now);
    --execution.m_openCalls;
    if (reply && provesNotRun(*reply)) {
        ++execution.m_provenNotRun;
        if (reply->m_outcome == CallOutcome::NotSent && attempt.m_tokenSpent)
            refundExtraLoad(step.stats().m_budget);
        else if (reply->m_outcome == CallOutcome::NotSent)
            ++execution.m_freeSends;
    }
    const auto next = nextWaiting(step.m_context.m_routing, attempt.m_endpoint);
    if (next && *next != execution.m_id)
        step.m_effects.emplace_back(WakeExecution { *next, attempt.m_endpoint });
}

void reportLostConnection(RequestStep& step, const Attempt& attempt)
{
    RequestExecution& execution = step.m_execution;
    ++execution.m_lostConnections;
    if (isKnownGood(step.m_context.m_fingerprints, execution.m_fingerprint))
        return;
    ++execution.m_reportedDeaths;
    execution.m_notBefore = step.m_now + step.m_context.m_settings.m_decisionTimeout;
    ++step.stats().m_counters.m_deaths;
    recordCrash(step.m_context.m_fingerprints, execution.m_fingerprint, attempt.m_endpointId, step.m_now);
    ReportDeath report;
    report.m_endpoint = attempt.m_endpointId;
    report.m_incarnation = attempt.m_incarnation;
    report.m_service = execution.m_request.m_service;
    report.m_suspects = { execution.m_fingerprint };
    step.m_effects.emplace_back(std::move(report));
}

void finishWithAnswer(RequestStep& step, std::string body)
{
    RequestExecution& execution = step.m_execution;
    if (recordSuccess(step.m_context.m_fingerprints, execution.m_fingerprint, step.m_now))
        step.m_effects.emplace_back(MarkSuccess { execution.m_fingerprint });
    settleClaim(step, ClaimOutcome::Done, body);
    cancelAllCalls(step);
    execution.m_phase = RequestPhase::Finished;
    FinishRequest finish;
    finish.m_answer.m_id = execution.m_request.m_id;
    finish.m_answer.m_answer = std::move(body);
    finish.m_answer.m_configurationVersion = step.m_context.m_routing.m_table.m_configurationVersion;
    step.m_effects.emplace_back(std::move(finish));
}

void finishWithUnknownOutcome(RequestStep& step, const std::string& what)
{
    settleClaim(step, ClaimOutcome::Unknown, {});
    cancelAllCalls(step);
    finishRequest(step, ResultCode::OutcomeUnknown, "outcome unknown: " + what + "; it will not run again");
}

std::string describe(const EndpointReply& reply)
{
    switch (reply.m_outcome) {
    case CallOutcome::Answered:
        return reply.m_status == 200 ? "the endpoint's answer belongs to another call"
                                     : "the endpoint answered with status " + std::to_string(reply.m_status);
    case CallOutcome::ConnectionLost:
        return "the connection to the endpoint was lost";
    case CallOutcome::TimedOut:
        return "the endpoint did not answer in time";
    default:
        return "the call was cancelled";
    }
}

// Waits until an endpoint can be chosen, or ends a request for which there is none.
void awaitReplica(RequestStep& step, const EndpointChoice& choice)
{
    RequestExecution& execution = step.m_execution;
    const RequestSettings& settings = step.m_context.m_settings;
    if (choice.m_busy && !execution.m_waiting) {
        execution.m_waiting = true;
        execution.m_waitingSince = step.m_now;
        waitForShard(step.m_context.m_routing, execution.m_request.m_service, holdingOf(execution), execution.m_id);
    }
    const bool comesTooLate = choice.m_retryAt && *choice.m_retryAt >= callDeadline(step);
    if (choice.m_rateLimitedUntil && comesTooLate && !choice.m_busy && execution.m_openCalls == 0 && !step.mayHaveRun())
        return refuseRequest(
            step, ResultCode::EndpointRateLimited, "the endpoints take no higher rate of requests before the deadline");
    const MonotonicTime poll = step.m_now + settings.m_waitPollInterval;
    if (choice.m_busy || choice.m_retryAt)
        return scheduleActionAt(step, std::min(choice.m_retryAt.value_or(poll), poll));
    if (!execution.m_tried.empty()) {
        // All replicas were tried: starts over after a backoff that doubles with each attempt.
        const auto doublings = static_cast<unsigned>(std::min<std::size_t>(execution.m_attempts.size(), 10));
        const Milliseconds wait = std::min(settings.m_retryBackoff * (1U << doublings), settings.m_maxRetryBackoff);
        execution.m_tried.clear();
        execution.m_notBefore = step.m_now + wait;
        return scheduleActionAt(step, execution.m_notBefore);
    }
    if (execution.m_openCalls == 0)
        refuseRequest(step, ResultCode::NoEndpoint, "no endpoint of the service takes new work");
}

// Ends a request that has no attempts left. Returns whether it did.
bool endIfExhausted(RequestStep& step)
{
    const RequestExecution& execution = step.m_execution;
    const RequestSettings& settings = step.m_context.m_settings;
    if (execution.m_openCalls > 0)
        return false;
    const bool crashed = execution.m_lostConnections >= settings.m_maxEndpointsAtRisk;
    if (!crashed && execution.m_attempts.size() < settings.m_maxAttempts)
        return false;
    const ResultCode code
        = execution.m_shedRetryAfter.count() > 0 ? ResultCode::EndpointRefused : ResultCode::NoEndpoint;
    refuseRequest(step, step.mayHaveRun() ? ResultCode::EndpointFailed : code,
        crashed ? "two endpoints lost the connection while they ran the request" : "all attempts failed");
    return true;
}

} // namespace

void advanceRequest(RequestStep& step)
{
    RequestExecution& execution = step.m_execution;
    if (execution.m_phase != RequestPhase::Sending)
        return;
    if (execution.m_openCalls == 0) {
        if (!step.m_context.m_leaseValid)
            return refuseRequest(step, ResultCode::NoLease, "this VM's lease ended");
        if (step.isQuarantined())
            return refuseRequest(step, ResultCode::Quarantined, "the request crashed two endpoints and is quarantined");
        if (endIfExhausted(step))
            return;
    }
    if (!step.m_context.m_leaseValid || !mayRiskEndpoint(step) || step.m_now >= callDeadline(step))
        return;
    if (step.m_now < execution.m_notBefore)
        return scheduleActionAt(step, execution.m_notBefore);
    const bool hedge = execution.m_openCalls > 0;
    if (hedge) {
        const MonotonicTime due = execution.m_attempts.back().m_sentAt + step.hedgeAfter();
        if (step.m_now < due)
            return scheduleActionAt(step, due);
    }
    const SnapshotRoutes* target = targetSnapshot(step);
    if (!target) {
        if (!hedge)
            refuseRequest(step, ResultCode::NoEndpoint, "no endpoint of the service takes new work");
        return;
    }
    if (target->m_version != execution.m_version || target->m_layout != execution.m_layout) {
        if (hedge)
            return;
        stopWaitingForReplica(step);
        execution.m_version = target->m_version;
        execution.m_layout = target->m_layout;
    }
    const ChoiceRequest request { target->m_replicas.front(), execution.m_tried,
        hedge                        ? ProbeUse::Never
            : execution.m_idempotent ? ProbeUse::Allowed
                                     : ProbeUse::OnlyIfHarmless };
    const EndpointChoice choice
        = chooseEndpoint(step.m_context.m_routing, request, step.m_context.m_random, step.m_now);
    if (choice.m_endpoint)
        sendRequest(step, *choice.m_endpoint);
    else if (hedge)
        scheduleActionAt(step, step.m_now + step.m_context.m_settings.m_waitPollInterval);
    else
        awaitReplica(step, choice);
}

void handleReply(RequestStep& step, CallReplied event)
{
    RequestExecution& execution = step.m_execution;
    const std::uint32_t number = event.m_attempt.value();
    if (number == 0 || number > execution.m_attempts.size() || !execution.m_attempts[number - 1].m_open) {
        ++step.stats().m_counters.m_droppedReplies;
        return;
    }
    EndpointReply& reply = event.m_reply;
    const bool matches = reply.m_request == execution.m_request.m_id && reply.m_attempt == event.m_attempt
        && reply.m_snapshot == execution.m_version && reply.m_layout == execution.m_layout
        && reply.m_shard == ShardIndex(0);
    CallVerdict verdict = verdictOf(reply);
    // A refusal that belongs to another call does not prove that this one did not run.
    if ((verdict == CallVerdict::Answered || verdict == CallVerdict::Shed) && !matches) {
        ++step.stats().m_counters.m_droppedReplies;
        verdict = CallVerdict::Failed;
        reply.m_notRun = false;
    }
    closeAttempt(step, execution.m_attempts[number - 1], verdict, &reply);
    const Attempt ended = execution.m_attempts[number - 1];
    if (verdict == CallVerdict::Answered)
        return finishWithAnswer(step, std::move(reply.m_body));
    if (reply.m_outcome == CallOutcome::ConnectionLost)
        reportLostConnection(step, ended);
    if (verdict == CallVerdict::Shed) {
        execution.m_shedRetryAfter = std::max(execution.m_shedRetryAfter, reply.m_retryAfter);
        execution.m_tried.erase(
            std::remove(execution.m_tried.begin(), execution.m_tried.end(), ended.m_endpoint), execution.m_tried.end());
    }
    if (!execution.m_idempotent && !provesNotRun(reply))
        return finishWithUnknownOutcome(step, describe(reply));
    advanceRequest(step);
}

void cancelAllCalls(RequestStep& step)
{
    RequestExecution& execution = step.m_execution;
    stopWaitingForReplica(step);
    for (std::uint32_t number = 1; number <= execution.m_attempts.size(); ++number) {
        Attempt& attempt = execution.m_attempts[number - 1];
        if (!attempt.m_open)
            continue;
        step.m_effects.emplace_back(CancelCall { AttemptNumber(number) });
        const bool ranLong = step.m_now - attempt.m_sentAt >= step.hedgeAfter();
        closeAttempt(step, attempt, ranLong ? CallVerdict::LostRace : CallVerdict::Abandoned, nullptr);
    }
}

void expireRequest(RequestStep& step)
{
    RequestExecution& execution = step.m_execution;
    if (execution.m_phase == RequestPhase::Claiming)
        return refuseRequest(step, ResultCode::ControlUnavailable, "the request id could not be claimed in time");
    if (!step.mayHaveRun()) {
        if (execution.m_shedRetryAfter.count() > 0)
            return refuseRequest(step, ResultCode::EndpointRefused, "the endpoints refused to take the request");
        return refuseRequest(step, ResultCode::Overloaded, "no endpoint was free before the deadline");
    }
    if (!execution.m_idempotent)
        return finishWithUnknownOutcome(step, "the endpoint did not answer in time");
    cancelAllCalls(step);
    finishRequest(step, ResultCode::DeadlineExceeded, "no endpoint answered in time");
}

} // namespace flamingo::detail
