#include "forward/forwardexecution.h"

#include "forward/forwardfinish.h"
#include "forward/mergeplan.h"
#include "forward/mergewire.h"
#include "forward/placement.h"

#include <algorithm>

namespace flamingo {

namespace {

// Executions that wait for an endpoint of a routed service all wait for this; it has no snapshots.
const ShardHolding wholeService {};

/** Which call of a part is to be sent. */
enum class CallKind {
    First,
    Hedge, // while another call of the part is open
    Retry, // after a call that failed or may have run
};

class Step {
public:
    Step(ForwardState& state, ForwardExecution& execution, MonotonicTime now)
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
            m_execution.m_shards += part.shards();
            if (part.m_group.empty())
                earnExtraLoad(forwardStats(m_state, part.m_service).m_budget);
            trySend(index, CallKind::First);
        }
    }

    void takeReply(AttemptNumber number, EndpointReply reply)
    {
        ForwardCall& call = m_execution.m_calls.at(number.value());
        ForwardPart& part = m_execution.m_parts[call.m_part];
        --part.m_openCalls;
        const bool merged = !part.m_group.empty();
        std::optional<MergeReply> mergeReply;
        if (merged && reply.m_outcome == CallOutcome::Answered && !reply.m_notRun)
            mergeReply = decodeMergeReply(reply.m_body);
        const CallVerdict verdict = merged ? mergeVerdict(reply, mergeReply.has_value())
                                           : forwardVerdict(m_execution.m_request, m_route, reply);
        RoutingState& routing = routingOf(part);
        endAttempt(routing, part.m_service, call.m_attempt, verdict, &reply, m_now);
        if (verdict == CallVerdict::Answered && !merged)
            addLatency(m_state.m_latencies[m_route.m_key],
                std::chrono::duration_cast<Microseconds>(m_now - call.m_attempt.m_sentAt), m_now);
        wakeWaiting(routing, call.m_attempt.m_endpoint);
        if (m_execution.m_finished || part.m_state != ForwardPart::State::Open)
            return;
        if (verdict != CallVerdict::Answered) {
            takeFailure(call.m_part, std::move(reply));
            return;
        }
        if (merged) {
            takeMerged(part, call.m_attempt.m_endpoint, std::move(*mergeReply));
            return;
        }
        part.m_receipts = { reply.m_receipt };
        part.m_records = m_route.m_shards.empty() ? std::string() : std::move(reply.m_body);
        part.m_reply = std::move(reply);
        ++m_execution.m_answered;
        settle(part, ForwardPart::State::Answered);
    }

    void resume(Milliseconds goalLeft)
    {
        m_execution.m_pausedUntil.reset();
        m_execution.m_goalAt = m_now + goalLeft;
        for (ForwardPart& part : m_execution.m_parts) {
            if (part.m_state == ForwardPart::State::Open && part.m_openCalls == 0)
                part.m_retryAt = m_now;
        }
        timer();
    }

    void timer()
    {
        if (m_execution.m_finished || m_execution.m_pausedUntil)
            return;
        for (std::size_t index = 0; index < m_execution.m_parts.size(); ++index) {
            ForwardPart& part = m_execution.m_parts[index];
            if (part.m_state != ForwardPart::State::Open || part.m_restOwner)
                continue;
            if (part.m_openCalls == 0 && (m_now >= part.m_retryAt || part.m_waiting)) {
                part.m_retryAt = MonotonicTime::max();
                trySend(index, part.m_mayHaveRun == 0 ? CallKind::First : CallKind::Retry);
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
            m_effects.m_wakeAt = m_execution.m_pausedUntil;
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
            askForRest();
        m_effects.m_wakeAt = nextWake();
        return std::move(m_effects);
    }

private:
    RoutingState& routingOf(const ForwardPart& part) const
    {
        return part.m_group.empty() ? m_state.m_routing : m_state.m_mergers;
    }

    bool mayRepeat() const { return m_route.m_idempotence == Idempotence::Idempotent; }

    void settle(ForwardPart& part, ForwardPart::State state)
    {
        part.m_state = state;
        part.m_hedgeAt = MonotonicTime::max();
        part.m_retryAt = MonotonicTime::max();
        stopWaitingFor(part);
        part.m_restOwner.reset();
        m_execution.m_lost += part.shards() - static_cast<std::uint32_t>(part.m_receipts.size());
    }

    void takeMerged(ForwardPart& part, EndpointIndex merger, MergeReply reply)
    {
        const auto added = static_cast<std::uint32_t>(reply.m_receipts.size());
        if (part.m_receipts.size() + added > part.shards()) {
            settle(part, ForwardPart::State::Lost);
            return;
        }
        m_execution.m_answered += added;
        part.m_receipts.insert(part.m_receipts.end(), std::make_move_iterator(reply.m_receipts.begin()),
            std::make_move_iterator(reply.m_receipts.end()));
        part.m_records.append(reply.m_records);
        part.m_hedgeAt = MonotonicTime::max();
        if (reply.m_moreFollows && part.m_openCalls == 0)
            part.m_restOwner = merger;
        else
            settle(part, ForwardPart::State::Answered);
    }

    // What is given now is not given again, and no further calls are made until the rest is asked for.
    void pause()
    {
        for (ForwardPart& part : m_execution.m_parts) {
            part.m_delivered = part.m_delivered || part.m_state == ForwardPart::State::Answered;
            part.m_hedgeAt = MonotonicTime::max();
            part.m_retryAt = MonotonicTime::max();
            stopWaitingFor(part);
        }
        m_execution.m_pausedUntil = std::min(m_now + m_state.m_settings.m_restOffer, m_execution.m_deadline);
        m_effects.m_wakeAt = m_execution.m_pausedUntil;
    }

    // Too few shards at the goal: a late answer still serves the caller, while a failure makes it ask again for all
    // shards, when the endpoints are at their limit already.
    void askForRest()
    {
        for (std::size_t index = 0; index < m_execution.m_parts.size(); ++index) {
            ForwardPart& part = m_execution.m_parts[index];
            if (part.m_state != ForwardPart::State::Open || !part.m_restOwner || part.m_openCalls > 0)
                continue;
            const auto untilDeadline = std::chrono::duration_cast<Milliseconds>(m_execution.m_deadline - m_now);
            const MergeRestCall rest { m_execution.m_request.m_id, part.m_group.front(),
                std::min(m_route.m_goal, untilDeadline) - m_state.m_settings.m_mergeReserve };
            EndpointCall call;
            writeMergeRestCall(rest, call);
            call.m_answerBy = mergerSilentAt();
            dispatch(index, *part.m_restOwner, std::move(call), CallKind::First);
        }
    }

    void stopWaitingFor(ForwardPart& part)
    {
        if (std::exchange(part.m_waiting, false))
            stopWaiting(routingOf(part), part.m_service, wholeService, m_execution.m_id);
    }

    void takeFailure(std::size_t index, EndpointReply reply)
    {
        ForwardPart& part = m_execution.m_parts[index];
        if (part.m_restOwner) {
            // Another VM would answer with shards that are in already.
            settle(part, ForwardPart::State::Lost);
            return;
        }
        if (!part.m_group.empty() && reply.m_outcome == CallOutcome::TimedOut) {
            // It may have used up the attempts of its shards. The caller can still ask again within its time.
            settle(part, ForwardPart::State::Lost);
            return;
        }
        const bool notRun = provesNotRun(reply) || reply.m_wrongEndpoint;
        if (notRun)
            --part.m_mayHaveRun;
        if (notRun)
            ++(reply.m_outcome == CallOutcome::Answered ? part.m_refused : part.m_notReached);
        const bool isOwn = reply.m_request.value().empty() || reply.m_request == m_execution.m_request.m_id;
        if (reply.m_outcome == CallOutcome::Answered && isOwn)
            part.m_reply = std::move(reply);
        if (part.m_openCalls > 0)
            return; // another call of the part may still answer
        const bool outOfTries = part.m_refused + part.m_notReached > m_state.m_settings.m_refusalsBorne;
        if ((!notRun && !mayRepeat()) || outOfTries) {
            settle(part, ForwardPart::State::Lost);
            return;
        }
        if (m_execution.m_pausedUntil)
            return;
        trySend(index, CallKind::Retry);
    }

    void trySend(std::size_t index, CallKind kind)
    {
        ForwardPart& part = m_execution.m_parts[index];
        if (part.m_mayHaveRun >= std::max(1U, m_route.m_maxAttempts) || (kind == CallKind::Hedge && !mayRepeat())) {
            giveUp(part, kind);
            return;
        }
        const EndpointChoice choice = choose(part, kind);
        if (!choice.m_endpoint) {
            waitOrGiveUp(part, kind, choice);
            return;
        }
        // Only calls that reached an endpoint count as load, and a first call is none beyond the request.
        const bool extra = part.m_mayHaveRun + part.m_refused > 0;
        if (extra && !mayAddLoad(part, kind)) {
            giveUp(part, kind);
            return;
        }
        send(index, *choice.m_endpoint, kind);
    }

    EndpointChoice choose(ForwardPart& part, CallKind kind)
    {
        static const std::vector<EndpointIndex> none;
        RoutingState& routing = routingOf(part);
        const auto& members = routing.m_table.m_members;
        const auto found = members.find(part.m_service);
        const std::vector<EndpointIndex>& replicas = found == members.end() ? none : found->second;
        const bool hedge = kind == CallKind::Hedge;
        const PlacementRequest request { typicalLatency(m_state, m_route), replicas, part.m_tried, hedge };
        EndpointChoice choice = placeCall(routing, request, m_state.m_random, m_now);
        if (choice.m_endpoint || hedge || part.m_tried.empty() || choice.m_busy)
            return choice;
        // All others have failed too, so that one that was tried may be asked once more.
        part.m_tried.clear();
        return placeCall(routing, request, m_state.m_random, m_now);
    }

    // Hedges leave a part of the budget to retries, without which a request fails.
    bool mayAddLoad(const ForwardPart& part, CallKind kind)
    {
        // A merging VM that is asked again calls all shards of its group again. They get the same requests, so that the
        // budget of one of them stands for all.
        ExtraLoadBudget& budget
            = forwardStats(m_state, part.m_group.empty() ? part.m_service : part.m_group.front()).m_budget;
        if (kind == CallKind::Hedge && budget.m_tokens < 1.0 + budget.m_burst * m_state.m_settings.m_retryReserve)
            return false;
        return spendExtraLoad(budget);
    }

    void giveUp(ForwardPart& part, CallKind kind)
    {
        if (kind != CallKind::Hedge && part.m_openCalls == 0)
            settle(part, ForwardPart::State::Lost);
    }

    void waitOrGiveUp(ForwardPart& part, CallKind kind, const EndpointChoice& choice)
    {
        if (kind == CallKind::Hedge)
            return;
        if (choice.m_busy) {
            waitForShard(routingOf(part), part.m_service, wholeService, m_execution.m_id);
            part.m_waiting = true;
            return;
        }
        if (choice.m_retryAt && *choice.m_retryAt < std::min(m_execution.m_goalAt, m_execution.m_deadline)) {
            part.m_retryAt = std::max(*choice.m_retryAt, m_now);
            return;
        }
        giveUp(part, kind);
    }

    void send(std::size_t index, EndpointIndex endpoint, CallKind kind)
    {
        ForwardPart& part = m_execution.m_parts[index];
        stopWaitingFor(part);
        part.m_tried.push_back(endpoint);
        ++part.m_mayHaveRun;
        part.m_retryAt = MonotonicTime::max();
        // A merging VM hedges by itself; two of them together would ask too many endpoints of a shard.
        part.m_hedgeAt = mayRepeat() && part.m_group.empty() && part.m_mayHaveRun < m_route.m_maxAttempts
            ? m_now + forwardHedgeDelay(m_state, m_route)
            : MonotonicTime::max();
        const ForwardRequest& request = m_execution.m_request;
        EndpointCall call;
        if (part.m_group.empty()) {
            call.m_method = request.m_method;
            call.m_host = request.m_host;
            call.m_path = request.m_target;
            call.m_fields = request.m_fields;
            call.m_body = request.m_body;
        } else {
            call.m_answerBy = mergerSilentAt();
            writeMergeCall(request, part.m_group, attemptsLeft(part), goalLeftForMerger(), call);
        }
        dispatch(index, endpoint, std::move(call), kind);
    }

    void dispatch(std::size_t index, EndpointIndex endpoint, EndpointCall call, CallKind kind)
    {
        ForwardPart& part = m_execution.m_parts[index];
        const AttemptNumber number(static_cast<std::uint32_t>(m_execution.m_calls.size()));
        m_execution.m_calls.push_back(
            { index, beginAttempt(routingOf(part), endpoint, false, m_now), kind == CallKind::Hedge });
        ++part.m_openCalls;
        setCallAddress(routingOf(part), endpoint, call);
        call.m_request = m_execution.m_request.m_id;
        call.m_attempt = number;
        call.m_deadline = m_execution.m_deadline;
        call.m_freshConnection = !mayRepeat();
        call.m_provenConnection = kind != CallKind::First;
        m_effects.m_sends.push_back({ number, std::move(call), kind == CallKind::Hedge, !part.m_group.empty() });
    }

    // A merging VM answers at the goal at the latest. One that is silent for a whole goal longer stands still, or the
    // connection does.
    MonotonicTime mergerSilentAt() const
    {
        return std::max(m_execution.m_goalAt, m_now + m_route.m_goal) + m_route.m_goal;
    }

    // A merging VM that was lost may have asked one endpoint of each shard.
    std::uint32_t attemptsLeft(const ForwardPart& part) const
    {
        const std::uint32_t allowed = std::max(1U, m_route.m_maxAttempts);
        return part.m_mayHaveRun > 1 ? 1U : allowed;
    }

    Milliseconds goalLeftForMerger() const
    {
        const MonotonicTime until = std::min(m_execution.m_goalAt, m_execution.m_deadline);
        return std::chrono::duration_cast<Milliseconds>(until - m_now) - m_state.m_settings.m_mergeReserve;
    }

    void wakeWaiting(RoutingState& routing, EndpointIndex endpoint)
    {
        const auto waiting = longestWaiting(routing, endpoint);
        if (waiting && canTakeCall(routing, endpoint, m_now))
            m_effects.m_wake.push_back(*waiting);
    }

    MonotonicTime nextWake() const
    {
        MonotonicTime next = m_execution.m_deadline;
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

// Returns one service, drawn by the weights.
ServiceName drawTarget(const Route& route, RandomEngine& random)
{
    double total = 0.0;
    for (const RouteTarget& target : route.m_targets)
        total += target.m_weight;
    double drawn = std::uniform_real_distribution<double>(0.0, total)(random);
    for (const RouteTarget& target : route.m_targets) {
        if (drawn < target.m_weight)
            return target.m_service;
        drawn -= target.m_weight;
    }
    return route.m_targets.back().m_service;
}

void setTimes(const ForwardState& state, ForwardExecution& execution)
{
    const ForwardSettings& settings = state.m_settings;
    const ForwardRequest& request = execution.m_request;
    const Route& route = *request.m_route;
    Milliseconds allowed = route.m_timeout;
    if (request.m_timeLeft.count() > 0)
        allowed = std::min(allowed, request.m_timeLeft);
    // A short time is not used up by the reserve.
    allowed -= std::min(settings.m_deadlineReserve, allowed / 4);
    execution.m_deadline = request.m_receivedAt + allowed;
    if (request.m_partOfGoal) {
        execution.m_goalAt = request.m_receivedAt + *request.m_partOfGoal;
        return;
    }
    if (route.m_goal.count() == 0)
        return;
    const Microseconds reserve = state.m_goalLag + settings.m_answerReserve
        + (request.m_newConnection ? settings.m_connectReserve : Milliseconds(0));
    execution.m_goalAt = request.m_receivedAt + std::max<Microseconds>(route.m_goal - reserve, route.m_goal / 2);
}

} // namespace

ForwardEffects startForward(ForwardState& state, ForwardExecution& execution, MonotonicTime now)
{
    const Route& route = *execution.m_request.m_route;
    setTimes(state, execution);
    if (route.m_shards.empty()) {
        execution.m_parts.emplace_back();
        execution.m_parts.back().m_service = drawTarget(route, state.m_random);
    }
    if (!execution.m_request.m_partOfGoal && usesMergers(state, route)) {
        std::vector<std::vector<ServiceName>> groups = mergeGroups(route.m_shards, state.m_settings.m_groupShards);
        for (std::size_t group = 0; group < groups.size(); ++group) {
            execution.m_parts.emplace_back();
            execution.m_parts.back().m_service = mergeGroupName(group);
            execution.m_parts.back().m_group = std::move(groups[group]);
        }
    } else {
        for (const ServiceName& shard : route.m_shards) {
            execution.m_parts.emplace_back();
            execution.m_parts.back().m_service = shard;
        }
    }
    Step step(state, execution, now);
    step.start();
    return step.finish();
}

ForwardEffects takeForwardReply(
    ForwardState& state, ForwardExecution& execution, AttemptNumber attempt, EndpointReply reply, MonotonicTime now)
{
    Step step(state, execution, now);
    step.takeReply(attempt, std::move(reply));
    return step.finish();
}

ForwardEffects forwardTimer(ForwardState& state, ForwardExecution& execution, MonotonicTime now)
{
    Step step(state, execution, now);
    // An answer that is due needs no further calls.
    ForwardEffects effects = step.finish();
    if (effects.m_answer || execution.m_finished || execution.m_pausedUntil)
        return effects;
    step.timer();
    ForwardEffects later = step.finish();
    later.m_sends.insert(later.m_sends.begin(), std::make_move_iterator(effects.m_sends.begin()),
        std::make_move_iterator(effects.m_sends.end()));
    return later;
}

ForwardEffects resumeForward(ForwardState& state, ForwardExecution& execution, Milliseconds goalLeft, MonotonicTime now)
{
    Step step(state, execution, now);
    step.resume(goalLeft);
    return step.finish();
}

void abandonForward(ForwardState& state, ForwardExecution& execution)
{
    execution.m_finished = true;
    for (ForwardPart& part : execution.m_parts) {
        if (std::exchange(part.m_waiting, false))
            stopWaiting(
                part.m_group.empty() ? state.m_routing : state.m_mergers, part.m_service, wholeService, execution.m_id);
    }
}

} // namespace flamingo
