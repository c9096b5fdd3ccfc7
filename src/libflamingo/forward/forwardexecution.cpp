#include "forward/forwardexecution.h"

#include "forward/calltimes.h"
#include "forward/crashsuspects.h"
#include "forward/forwardfinish.h"
#include "forward/forwardstart.h"
#include "forward/handover.h"
#include "forward/mergeplan.h"
#include "forward/mergewire.h"
#include "forward/partplacement.h"
#include "forward/partwaiting.h"
#include "forward/relayplan.h"
#include "forward/relaywire.h"

#include <algorithm>

namespace flamingo {

namespace {

/** Purpose of the next call of a part. */
enum class CallKind {
    First,
    Hedge, // while another call of the part is open
    Retry, // after a call that failed or may have run
};

/** Applies one event to an execution and collects the resulting effects. */
class ForwardStep {
public:
    ForwardStep(ForwardState& state, ForwardExecution& execution, MonotonicTime now)
        : m_state(state)
        , m_execution(execution)
        , m_route(*execution.m_request.m_route)
        , m_now(now)
    {
    }

    void start()
    {
        for (std::size_t index = 0; index < m_execution.m_parts.size(); ++index) {
            const ForwardPart& part = m_execution.m_parts[index];
            m_execution.m_shardCount += part.shardCount();
            if (!part.callsVm())
                earnExtraLoad(forwardStats(m_state, part.m_service).m_budget);
            trySend(index, CallKind::First);
        }
    }

    void handleReply(AttemptNumber number, EndpointReply reply)
    {
        ForwardCall& call = m_execution.m_calls.at(number.value());
        ForwardPart& part = m_execution.m_parts[call.m_part];
        --part.m_openCalls;
        std::optional<MergeReply> mergeReply;
        std::optional<ForwardAnswer> relayedAnswer;
        if (reply.m_outcome == CallOutcome::Answered && !reply.m_notRun) {
            if (part.m_relay)
                relayedAnswer = readRelayedAnswer(reply);
            else if (!part.m_group.empty())
                mergeReply = decodeMergeReply(reply.m_body);
        }
        if (mergeReply && call.m_dueAt && m_now >= *call.m_dueAt)
            learnMergeDelay(m_state.m_mergeReserve, std::chrono::duration_cast<Microseconds>(m_now - *call.m_dueAt));
        const CallVerdict verdict = part.callsVm() ? mergeVerdict(reply, mergeReply || relayedAnswer)
                                                   : forwardVerdict(m_execution.m_request, m_route, reply);
        if (!part.callsVm())
            updateReachabilityOf(call.m_attempt.m_endpoint, reply.m_outcome);
        RoutingState& routing = routingOf(part);
        endAttempt(routing, part.m_service, call.m_attempt, verdict, &reply, m_now);
        if (verdict == CallVerdict::Answered && !part.callsVm())
            addLatency(m_state.m_latencies[m_route.m_key],
                std::chrono::duration_cast<Microseconds>(m_now - call.m_attempt.m_sentAt), m_now);
        if (part.callsVm())
            learnLeavingEndpoints(reply);
        else
            learnFromRun(call, part.m_service, reply);
        unblockWaiting(routing, call.m_attempt.m_endpoint);
        if (m_execution.m_finished || part.m_state != ForwardPart::State::Open)
            return;
        if (verdict != CallVerdict::Answered) {
            handleFailure(call, std::move(reply));
            return;
        }
        if (relayedAnswer) {
            handleRelayedAnswer(part, call.m_attempt.m_endpoint, std::move(*relayedAnswer));
            return;
        }
        if (mergeReply) {
            handleMergeReply(part, call.m_attempt.m_endpoint, std::move(*mergeReply));
            return;
        }
        part.m_receipts = { reply.m_receipt };
        part.m_records = m_route.m_shards.empty() ? std::string() : std::move(reply.m_body);
        part.m_reply = std::move(reply);
        ++m_execution.m_answeredShards;
        closePart(part, ForwardPart::State::Answered);
    }

    void resume(Milliseconds goalLeft)
    {
        m_execution.m_pausedUntil.reset();
        m_execution.m_goalAt = m_now + goalLeft;
        retryIdleParts();
        handleTimer();
    }

    void handleTimer()
    {
        if (m_execution.m_finished || m_execution.m_pausedUntil)
            return;
        if (m_execution.m_handOverAt && m_now >= *m_execution.m_handOverAt)
            handOver();
        prepareHandOver();
        for (std::size_t index = 0; index < m_execution.m_parts.size(); ++index) {
            ForwardPart& part = m_execution.m_parts[index];
            if (part.m_state != ForwardPart::State::Open || part.m_pendingMerger)
                continue;
            if (part.m_openCalls == 0 && (m_now >= part.m_retryAt || part.m_waiting)) {
                const bool waited = part.m_waiting;
                part.m_retryAt = MonotonicTime::max();
                trySend(index, part.m_possibleRuns == 0 ? CallKind::First : CallKind::Retry);
                if (waited && part.m_state == ForwardPart::State::Lost)
                    unblockNext(part);
            } else if (m_now >= part.m_hedgeAt) {
                part.m_hedgeAt = MonotonicTime::max();
                trySend(index, CallKind::Hedge);
            }
        }
    }

    ForwardEffects finish()
    {
        if (m_execution.m_finished)
            return std::move(m_effects);
        if (m_execution.m_pausedUntil) {
            if (m_now >= *m_execution.m_pausedUntil)
                abandonForward(m_state, m_execution);
            m_effects.m_nextTimerAt = m_execution.m_pausedUntil;
            return std::move(m_effects);
        }
        m_effects.m_answer = decideAnswer(m_execution, m_now);
        if (m_effects.m_answer && m_effects.m_answer->m_moreFollows) {
            pause();
            return std::move(m_effects);
        }
        if (m_effects.m_answer) {
            abandonForward(m_state, m_execution);
            return std::move(m_effects);
        }
        if (m_now >= m_execution.m_goalAt)
            resumeMergers();
        m_effects.m_nextTimerAt = nextTimerAt();
        return std::move(m_effects);
    }

private:
    void retryIdleParts()
    {
        for (ForwardPart& part : m_execution.m_parts) {
            if (part.m_state == ForwardPart::State::Open && part.m_openCalls == 0)
                part.m_retryAt = m_now;
        }
    }

    RoutingState& routingOf(const ForwardPart& part) const { return routingOfPart(m_state, part); }

    void updateReachabilityOf(EndpointIndex endpoint, CallOutcome outcome)
    {
        if (outcome == CallOutcome::Answered)
            recordAnswer(m_state.m_reachability);
        else if (outcome != CallOutcome::Cancelled)
            recordNoAnswer(m_state.m_reachability, endpoint, m_now);
    }

    // The other VM has passed on answers of endpoints that leave. This VM passes them on to its caller.
    void learnLeavingEndpoints(const EndpointReply& reply)
    {
        for (const EndpointLifetime& endpoint : reply.m_leavingEndpoints) {
            learnLeaving(m_state.m_routing, endpoint);
            m_execution.m_leavingEndpoints.push_back(endpoint);
        }
    }

    void learnFromRun(const ForwardCall& call, const ServiceName& service, const EndpointReply& reply)
    {
        if (reply.m_leaving && !reply.m_wrongEndpoint)
            m_execution.m_leavingEndpoints.push_back({ call.m_attempt.m_endpointId, call.m_attempt.m_incarnation });
        if (provesSurvival(m_execution.m_request, reply))
            recordSurvival(m_state, m_execution, call.m_part, m_now);
        else if (provesNotRun(reply) || reply.m_wrongEndpoint)
            repeatTrial(m_state, m_execution, m_now);
        else
            recordLostCall(m_state, m_execution, call, service, reply.m_outcome, m_now);
        recordWatchedReply(m_state.m_crashWatch, call.m_attempt, reply, m_now);
    }

    void prepareHandOver()
    {
        if (m_execution.m_handOverAt || !mustHandOver(m_state, m_execution))
            return;
        m_execution.m_handOverAt = m_now;
        m_execution.m_unsentCallsCancelled = true;
        m_effects.m_cancelUnsent = openEndpointCalls(m_execution);
    }

    void handOver()
    {
        m_execution.m_handOverAt.reset();
        if (!m_state.m_reachability.m_cutOff) {
            retryIdleParts();
            return;
        }
        if (!isIdempotent() && mayHaveRun(m_execution))
            return;
        if (m_execution.m_request.m_relayed) {
            m_execution.m_cutOff = true;
            return;
        }
        HandOver plan = planHandOver(m_execution);
        for (const std::size_t index : plan.m_exhausted)
            closePart(m_execution.m_parts[index], ForwardPart::State::Lost);
        for (const std::size_t index : plan.m_handedOver)
            stopCalling(m_execution.m_parts[index], ForwardPart::State::HandedOver);
        if (!plan.m_relay || decideAnswer(m_execution, m_now))
            return;
        stopCalling(m_execution.m_parts.front(), m_execution.m_parts.front().m_state);
        m_execution.m_parts.push_back(std::move(*plan.m_relay));
        trySend(m_execution.m_parts.size() - 1, CallKind::First);
    }

    bool isIdempotent() const { return m_route.m_idempotence == Idempotence::Idempotent; }

    void stopCalling(ForwardPart& part, ForwardPart::State state)
    {
        part.m_state = state;
        part.m_hedgeAt = MonotonicTime::max();
        part.m_retryAt = MonotonicTime::max();
        abandonWaiting(m_state, m_execution, part);
    }

    void closePart(ForwardPart& part, ForwardPart::State state)
    {
        stopCalling(part, state);
        part.m_pendingMerger.reset();
        m_execution.m_lostShards += part.shardCount() - static_cast<std::uint32_t>(part.m_receipts.size());
    }

    void handleRelayedAnswer(ForwardPart& part, EndpointIndex vm, ForwardAnswer answer)
    {
        if (part.m_group.empty()) {
            m_execution.m_relayedAnswer = std::move(answer);
            closePart(part, ForwardPart::State::Answered);
        } else if (answer.m_kind == ForwardAnswer::Kind::Merged) {
            handleMergeReply(part, vm, { std::move(answer.m_receipts), std::move(answer.m_body), false });
        } else {
            closePart(part, ForwardPart::State::Lost);
        }
    }

    void handleMergeReply(ForwardPart& part, EndpointIndex merger, MergeReply reply)
    {
        const auto addedShards = static_cast<std::uint32_t>(reply.m_receipts.size());
        if (part.m_receipts.size() + addedShards > part.shardCount()) {
            closePart(part, ForwardPart::State::Lost);
            return;
        }
        m_execution.m_answeredShards += addedShards;
        part.m_receipts.insert(part.m_receipts.end(), std::make_move_iterator(reply.m_receipts.begin()),
            std::make_move_iterator(reply.m_receipts.end()));
        part.m_records.append(reply.m_records);
        part.m_hedgeAt = MonotonicTime::max();
        if (reply.m_moreFollows && part.m_openCalls == 0)
            part.m_pendingMerger = merger;
        else
            closePart(part, ForwardPart::State::Answered);
    }

    // Marks the answered parts as delivered and starts no further calls until the execution is resumed.
    void pause()
    {
        for (ForwardPart& part : m_execution.m_parts) {
            part.m_delivered = part.m_delivered || part.m_state == ForwardPart::State::Answered;
            part.m_hedgeAt = MonotonicTime::max();
            part.m_retryAt = MonotonicTime::max();
            abandonWaiting(m_state, m_execution, part);
        }
        m_execution.m_pausedUntil = std::min(m_now + m_state.m_settings.m_resumeWindow, m_execution.m_deadline);
        m_effects.m_nextTimerAt = m_execution.m_pausedUntil;
    }

    // Requests the remaining shards from merging VMs if too few have answered at the goal. A late answer is still
    // useful to the caller. After a failure it would request all shards again while the endpoints are already
    // overloaded.
    void resumeMergers()
    {
        for (std::size_t index = 0; index < m_execution.m_parts.size(); ++index) {
            ForwardPart& part = m_execution.m_parts[index];
            if (part.m_state != ForwardPart::State::Open || !part.m_pendingMerger || part.m_openCalls > 0)
                continue;
            const auto untilDeadline = std::chrono::duration_cast<Milliseconds>(m_execution.m_deadline - m_now);
            const MergeResumeCall resumeCall { m_execution.m_request.m_id, part.m_group.front(),
                std::min(m_route.m_goal, untilDeadline)
                    - mergeReserveWithin(m_state.m_mergeReserve, std::min(m_route.m_goal, untilDeadline)) };
            EndpointCall call;
            writeMergeResumeCall(resumeCall, call);
            call.m_answerBy = mergerReplyDeadline(m_execution, m_now);
            constexpr std::uint32_t noFurtherAttempts = 0;
            dispatch(index, *part.m_pendingMerger, std::move(call), noFurtherAttempts, CallKind::First);
        }
    }

    void handleFailure(const ForwardCall& call, EndpointReply reply)
    {
        const std::size_t index = call.m_part;
        ForwardPart& part = m_execution.m_parts[index];
        if (part.m_pendingMerger) {
            // Another merging VM would return shards that have already been counted.
            closePart(part, ForwardPart::State::Lost);
            return;
        }
        if (!part.m_group.empty() && reply.m_outcome == CallOutcome::TimedOut) {
            // The merging VM may have used up the attempts of its shards. The caller still has time for a retry.
            closePart(part, ForwardPart::State::Lost);
            return;
        }
        const bool notRun = provesNotRun(reply) || reply.m_wrongEndpoint;
        returnAttempts(part.m_attempts, unusedAttempts(call.m_takenAttempts, notRun, reply.m_usedAttempts));
        if (notRun)
            --part.m_possibleRuns;
        if (notRun)
            ++(reply.m_outcome == CallOutcome::Answered ? part.m_refusals : part.m_unsentCalls);
        const bool matchesRequest = reply.m_request.value().empty() || reply.m_request == m_execution.m_request.m_id;
        if (reply.m_outcome == CallOutcome::Answered && matchesRequest)
            part.m_reply = std::move(reply);
        if (part.m_openCalls > 0)
            return; // another call of the part may still answer
        part.m_hedgeAt = MonotonicTime::max();
        const unsigned maxRefusals
            = part.callsVm() ? m_state.m_settings.m_maxVmRefusals : m_state.m_settings.m_maxRefusals;
        const bool refusalsExceeded = part.m_refusals + part.m_unsentCalls > maxRefusals;
        if ((!notRun && !isIdempotent()) || refusalsExceeded) {
            closePart(part, ForwardPart::State::Lost);
            return;
        }
        if (m_execution.m_pausedUntil)
            return;
        prepareHandOver();
        trySend(index, CallKind::Retry);
    }

    void trySend(std::size_t index, CallKind kind)
    {
        ForwardPart& part = m_execution.m_parts[index];
        if (!part.m_relay && (m_execution.m_handOverAt || isRelayed(m_execution)))
            return; // another VM takes over
        if (kind != CallKind::First && isQuarantined(m_state, m_execution.m_fingerprint, m_now)) {
            giveUp(part, kind);
            return;
        }
        if (attemptsLeft(part.m_attempts) == 0 || (kind == CallKind::Hedge && !isIdempotent())) {
            giveUp(part, kind);
            return;
        }
        const EndpointChoice choice = choose(part, kind);
        if (!choice.m_endpoint) {
            waitOrGiveUp(part, kind, choice);
            return;
        }
        if (kind == CallKind::Hedge && !part.callsVm() && isRemote(*choice.m_endpoint)
            && m_now < part.m_remoteHedgeAt) {
            part.m_hedgeAt = part.m_remoteHedgeAt;
            return;
        }
        // A call counts as extra load only if an earlier call of this part has reached an endpoint. A request that is
        // handed over has no other way, so it is not refused for lack of budget.
        const bool extra = part.m_attempts.m_used + (part.callsVm() ? 0 : part.m_refusals) > 0;
        if (extra && !trySpendExtraLoad(part, kind) && !part.m_relay) {
            giveUp(part, kind);
            return;
        }
        send(index, *choice.m_endpoint, kind);
    }

    bool isRemote(EndpointIndex endpoint) const
    {
        const RoutingState& routing = m_state.m_routing;
        return routing.m_table.m_endpoints[endpoint.value()].m_dataCentre != routing.m_settings.m_dataCentre;
    }

    EndpointChoice choose(ForwardPart& part, CallKind kind)
    {
        const bool hedge = kind == CallKind::Hedge;
        EndpointChoice choice = placePart(m_state, m_route, part, hedge, m_now);
        if (choice.m_endpoint || hedge || choice.m_busy)
            return choice;
        if (!part.m_group.empty() && !part.m_otherVm) {
            // All owners of the group refuse or are lost. Any other VM can merge its shards, if more slowly.
            abandonWaiting(m_state, m_execution, part);
            part.m_otherVm = true;
            part.m_service = relayServiceName();
            part.m_triedEndpoints.clear();
            return placePart(m_state, m_route, part, hedge, m_now);
        }
        if (part.m_triedEndpoints.empty())
            return choice;
        // No other endpoint can take the call, so those that were tried are allowed again.
        part.m_triedEndpoints.clear();
        return placePart(m_state, m_route, part, hedge, m_now);
    }

    // Takes one call from the extra-load budget. Hedges leave a reserve for retries, without which requests would fail.
    bool trySpendExtraLoad(const ForwardPart& part, CallKind kind)
    {
        // Retrying a merging VM repeats the calls to all shards of its group. These shards get the same requests, so
        // the budget of the first one represents them all.
        ExtraLoadBudget& budget = forwardStats(m_state, budgetService(m_route, part)).m_budget;
        if (kind == CallKind::Hedge && budget.m_tokens < 1.0 + budget.m_burst * m_state.m_settings.m_retryReserve)
            return false;
        return spendExtraLoad(budget);
    }

    void giveUp(ForwardPart& part, CallKind kind)
    {
        if (kind != CallKind::Hedge && part.m_openCalls == 0)
            closePart(part, ForwardPart::State::Lost);
    }

    void waitOrGiveUp(ForwardPart& part, CallKind kind, const EndpointChoice& choice)
    {
        if (kind == CallKind::Hedge)
            return;
        if (choice.m_busy) {
            if (kind == CallKind::First && !part.m_waiting)
                part.m_roomAfter = timeUntilRoomFor(m_state, m_execution, part, m_now);
            if (part.m_roomAfter) {
                giveUp(part, kind);
                return;
            }
            beginWaiting(m_state, m_execution, part, m_now);
            // Without the timer, later requests would take the calls that rate limits permit meanwhile.
            part.m_retryAt = choice.m_rateLimitedUntil.value_or(MonotonicTime::max());
            return;
        }
        // A VM that refuses to serve a request is cut off as well or at its limit, and stays so for a while.
        if (!part.m_relay && choice.m_retryAt
            && *choice.m_retryAt < std::min(m_execution.m_goalAt, m_execution.m_deadline)) {
            part.m_retryAt = std::max(*choice.m_retryAt, m_now);
            return;
        }
        // The next token comes too late, or another request takes it: a caller that comes back finds another VM.
        part.m_rateLimited = choice.m_rateLimitedUntil.has_value();
        giveUp(part, kind);
    }

    void send(std::size_t index, EndpointIndex endpoint, CallKind kind)
    {
        ForwardPart& part = m_execution.m_parts[index];
        endWaiting(m_state, m_execution, part, m_now);
        part.m_triedEndpoints.push_back(endpoint);
        ++part.m_possibleRuns;
        part.m_retryAt = MonotonicTime::max();
        const std::uint32_t attempts = part.callsVm() ? attemptsToGrant(part.m_attempts) : 1U;
        takeAttempts(part.m_attempts, attempts);
        // Other VMs send their own hedges.
        part.m_hedgeAt = isIdempotent() && !part.callsVm() && attemptsLeft(part.m_attempts) > 0
            ? m_now + forwardHedgeDelay(m_state, m_route)
            : MonotonicTime::max();
        part.m_remoteHedgeAt = m_now
            + remoteHedgeDelay(m_state, m_route, std::min(m_execution.m_goalAt, m_execution.m_deadline) - m_now);
        const ForwardRequest& request = m_execution.m_request;
        std::optional<MonotonicTime> dueAt;
        EndpointCall call;
        if (part.m_relay) {
            call.m_answerBy = relayReplyDeadline(m_execution, part, m_now);
            writeRelayCall(request, relayRoute(m_execution, part, attempts),
                goalLeftForVm(m_state.m_mergeReserve, m_execution, m_now), call);
        } else if (part.m_group.empty()) {
            call.m_method = request.m_method;
            call.m_host = request.m_host;
            call.m_path = request.m_target;
            call.m_fields = request.m_fields;
            call.m_body = request.m_body;
        } else {
            call.m_answerBy = mergerReplyDeadline(m_execution, m_now);
            const Milliseconds goalLeft = goalLeftForVm(m_state.m_mergeReserve, m_execution, m_now);
            dueAt = m_now + goalLeft;
            writeMergeCall(request, part.m_group, attempts, goalLeft, call);
        }
        if (part.callsVm())
            writeCallerPriority(request, call);
        dispatch(index, endpoint, std::move(call), attempts, kind);
        m_execution.m_calls.back().m_dueAt = dueAt;
    }

    void dispatch(
        std::size_t index, EndpointIndex endpoint, EndpointCall call, std::uint32_t takenAttempts, CallKind kind)
    {
        ForwardPart& part = m_execution.m_parts[index];
        const AttemptNumber number(static_cast<std::uint32_t>(m_execution.m_calls.size()));
        setCallAddress(routingOf(part), endpoint, call);
        m_execution.m_calls.push_back({ index, beginAttempt(routingOf(part), endpoint, false, m_now), call.m_address,
            call.m_port, takenAttempts, kind == CallKind::Hedge, std::nullopt });
        ++part.m_openCalls;
        call.m_request = m_execution.m_request.m_id;
        call.m_attempt = number;
        call.m_deadline = m_execution.m_deadline;
        call.m_dedicatedConnection = !isIdempotent();
        call.m_held = m_execution.m_request.m_held;
        call.m_recentlyActiveConnection = kind != CallKind::First;
        if (!part.callsVm())
            recordCallSent(m_state.m_reachability, endpoint, forwardHedgeDelay(m_state, m_route), m_now);
        m_effects.m_sends.push_back({ number, std::move(call), kind == CallKind::Hedge, part.callsVm() });
    }

    void unblockWaiting(RoutingState& routing, EndpointIndex endpoint)
    {
        // Also if the endpoint is now ejected or at its rate limit: the request must not wait for it in vain.
        if (const auto waiting = nextWaiting(routing, endpoint))
            m_effects.m_unblocked.push_back(*waiting);
    }

    // Lets the next request look for an endpoint after this one has waited in vain.
    void unblockNext(const ForwardPart& part)
    {
        if (const auto next = nextWaiting(queueOf(m_state, part)))
            m_effects.m_unblocked.push_back(*next);
    }

    MonotonicTime nextTimerAt() const
    {
        MonotonicTime next
            = std::min(m_execution.m_deadline, m_execution.m_handOverAt.value_or(m_execution.m_deadline));
        if (m_now < m_execution.m_goalAt)
            next = std::min(next, m_execution.m_goalAt);
        for (const ForwardPart& part : m_execution.m_parts)
            next = std::min({ next, part.m_hedgeAt, part.m_retryAt });
        return next;
    }

    ForwardState& m_state;
    ForwardExecution& m_execution;
    const Route& m_route;
    MonotonicTime m_now;
    ForwardEffects m_effects;
};

} // namespace

ForwardEffects startForward(ForwardState& state, ForwardExecution& execution, MonotonicTime now)
{
    setDeadlines(state, execution);
    execution.m_fingerprint = forwardFingerprint(execution.m_request);
    if (isQuarantined(state, execution.m_fingerprint, now) && !beginTrial(state, execution, now)) {
        execution.m_finished = true;
        ForwardEffects effects;
        effects.m_answer = quarantineAnswer(execution);
        return effects;
    }
    makeParts(state, execution);
    ForwardStep step(state, execution, now);
    step.start();
    if (execution.m_calls.empty())
        repeatTrial(state, execution, now);
    return step.finish();
}

ForwardEffects handleForwardReply(
    ForwardState& state, ForwardExecution& execution, AttemptNumber attempt, EndpointReply reply, MonotonicTime now)
{
    ForwardStep step(state, execution, now);
    step.handleReply(attempt, std::move(reply));
    return step.finish();
}

ForwardEffects handleForwardTimer(ForwardState& state, ForwardExecution& execution, MonotonicTime now)
{
    ForwardStep step(state, execution, now);
    // Checks first whether an answer is due, since it makes further calls unnecessary.
    ForwardEffects effects = step.finish();
    if (effects.m_answer || execution.m_finished || execution.m_pausedUntil)
        return effects;
    step.handleTimer();
    ForwardEffects later = step.finish();
    later.m_sends.insert(later.m_sends.begin(), std::make_move_iterator(effects.m_sends.begin()),
        std::make_move_iterator(effects.m_sends.end()));
    return later;
}

ForwardEffects resumeForward(ForwardState& state, ForwardExecution& execution, Milliseconds goalLeft, MonotonicTime now)
{
    ForwardStep step(state, execution, now);
    step.resume(goalLeft);
    return step.finish();
}

void abandonForward(ForwardState& state, ForwardExecution& execution)
{
    execution.m_finished = true;
    for (ForwardPart& part : execution.m_parts)
        abandonWaiting(state, execution, part);
}

} // namespace flamingo
