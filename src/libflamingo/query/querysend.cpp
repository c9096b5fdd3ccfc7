#include "query/querystep.h"

#include <algorithm>

namespace flamingo::detail {

namespace {

// Returns the deadline of a call to an endpoint. It is earlier than the caller's deadline, so that there is time for
// the reply to arrive and be merged.
MonotonicTime callDeadline(const QueryStep& step)
{
    const QuerySettings& settings = step.m_context.m_settings;
    const QueryExecution& execution = step.m_execution;
    const auto total = execution.m_deadline - execution.m_startedAt;
    const auto margin = std::chrono::duration_cast<MonotonicTime::duration>(total * settings.m_replyMarginFraction);
    return execution.m_deadline
        - std::min<MonotonicTime::duration>(margin, MonotonicTime::duration(settings.m_maxReplyMargin));
}

// Charges the call to the extra-load budget, and returns false if there is no token for it. The first call of a shard
// is free and earns a fraction of a token for both budgets. A replacement of a call that was never sent is free, and a
// replacement of a refused call is charged to the refusal budget if that has a token. Sets `tokenSpent` if a token of
// the extra-load budget was spent.
bool chargeCall(QueryStep& step, ShardProgress& shard, bool& tokenSpent)
{
    ExtraLoadBudget& budget = step.stats().m_budget;
    tokenSpent = false;
    if (shard.m_freeSends > 0) {
        --shard.m_freeSends;
        if (!shard.m_budgetEarned) {
            shard.m_budgetEarned = true;
            earnExtraLoad(budget);
            earnExtraLoad(step.stats().m_refusalBudget);
        }
        return true;
    }
    if (shard.m_unreplacedRefusals > 0 && spendExtraLoad(step.stats().m_refusalBudget)) {
        --shard.m_unreplacedRefusals;
        ++step.stats().m_counters.m_refusalsReplaced;
        return true;
    }
    tokenSpent = spendExtraLoad(budget);
    return tokenSpent;
}

void countCall(QueryStep& step, SendPurpose purpose, bool tokenSpent)
{
    RoutingCounters& counters = step.stats().m_counters;
    if (!tokenSpent)
        ++counters.m_firstAttempts;
    else if (purpose == SendPurpose::Hedge)
        ++counters.m_hedges;
    else if (purpose == SendPurpose::Canary)
        ++counters.m_canaryDuplicates;
    else
        ++counters.m_retries;
}

void waitForReplica(QueryStep& step, ShardIndex index)
{
    QueryExecution& execution = step.m_execution;
    ShardProgress& shard = step.shard(index);
    if (!shard.m_waiting) {
        shard.m_waiting = true;
        shard.m_hedgeWaiting = shard.m_openCalls > 0;
        shard.m_waitingSince = step.m_now;
        const ShardHolding holding { execution.m_version, execution.m_layout, index };
        waitForShard(step.m_context.m_routing, execution.m_request.m_service, holding, execution.m_id);
    }
}

// Makes all replicas of the shard eligible again after an exponential backoff, when all of them have failed.
void retryAfterBackoff(QueryStep& step, ShardIndex index)
{
    ShardProgress& shard = step.shard(index);
    const QuerySettings& settings = step.m_context.m_settings;
    const unsigned doublings = std::min(shard.m_sentCalls, 10U);
    const Milliseconds wait = std::min(settings.m_retryBackoff * (1U << doublings), settings.m_maxRetryBackoff);
    shard.m_tried.clear();
    shard.m_notBefore = step.m_now + wait;
    scheduleShardCheck(step, index, shard.m_notBefore);
}

Microseconds recheckDelay(const QueryStep& step)
{
    const auto fraction = std::chrono::duration_cast<Microseconds>(
        step.hedgeAfter() * step.m_context.m_settings.m_hedgeRecheckFraction);
    return std::max(fraction, step.m_context.m_routing.m_settings.m_minHedgeDelay);
}

// Returns the shard's only replica if the attempt has run on it for a long time: the attempt's connection may be broken
// without notice while a new connection works.
std::optional<EndpointIndex> soleReplica(const QueryStep& step, const QueryAttempt& attempt)
{
    const SnapshotRoutes* snapshot = step.snapshot();
    if (!snapshot)
        return std::nullopt;
    const auto& endpoints = step.m_context.m_routing.m_table.m_endpoints;
    const auto& replicas = snapshot->m_replicas[attempt.m_shard.value()];
    const bool hasOtherReplica = std::any_of(replicas.begin(), replicas.end(), [&](EndpointIndex index) {
        return index != attempt.m_attempt.m_endpoint && !endpoints[index.value()].m_draining;
    });
    const auto age = step.m_now - attempt.m_attempt.m_sentAt;
    if (hasOtherReplica || age < step.hedgeAfter() * step.m_context.m_settings.m_soleReplicaDelayFactor)
        return std::nullopt;
    if (!isEndpointKnown(step.m_context.m_routing, attempt.m_attempt)
        || !canTryConnection(step.m_context.m_routing, attempt.m_attempt.m_endpoint, step.m_now))
        return std::nullopt;
    return attempt.m_attempt.m_endpoint;
}

void wakeNextWaiting(QueryStep& step, EndpointIndex endpoint)
{
    const auto next = nextWaiting(step.m_context.m_routing, endpoint);
    if (!next)
        return;
    if (*next != step.m_execution.m_id) {
        step.m_effects.emplace_back(WakeExecution { *next, endpoint });
        return;
    }
    // This execution is next: runDueChecks() handles the check within the same step, after the event.
    scheduleCheck(step, step.m_now, ScheduledCheck::Kind::Shard, ScheduledCheck::allWaitingShards);
}

} // namespace

bool sendCall(QueryStep& step, ShardIndex index, EndpointIndex endpoint, SendPurpose purpose, bool suspect)
{
    QueryExecution& execution = step.m_execution;
    ShardProgress& shard = step.shard(index);
    bool tokenSpent = false;
    if (!step.m_context.m_leaseValid || !chargeCall(step, shard, tokenSpent))
        return false;
    countCall(step, purpose, tokenSpent);
    QueryAttempt attempt;
    attempt.m_attempt = beginAttempt(step.m_context.m_routing, endpoint, suspect, step.m_now);
    attempt.m_attempt.m_tokenSpent = tokenSpent;
    attempt.m_shard = index;
    attempt.m_hedge = purpose == SendPurpose::Hedge;
    execution.m_attempts.push_back(attempt);
    const AttemptNumber number(static_cast<std::uint32_t>(execution.m_attempts.size()));
    stopWaitingForReplica(step, index);
    ++shard.m_openCalls;
    ++shard.m_sentCalls;
    ++execution.m_endpointRequests;
    shard.m_tried.push_back(endpoint);

    SendCall send;
    EndpointCall& call = send.m_call;
    setCallAddress(step.m_context.m_routing, endpoint, call);
    call.m_path = "/shard/query";
    call.m_request = execution.m_request.m_id;
    call.m_attempt = number;
    call.m_snapshot = execution.m_version;
    call.m_layout = execution.m_layout;
    call.m_shard = index;
    call.m_kind = "query";
    call.m_body = execution.m_request.m_body;
    call.m_deadline = callDeadline(step);
    call.m_recentlyActiveConnection = purpose != SendPurpose::First && number.value() > 1;
    send.m_isHedge = attempt.m_hedge;
    step.m_effects.emplace_back(std::move(send));
    scheduleHedgeCheck(step, number, step.m_now + step.hedgeAfter());
    return true;
}

void advanceShard(QueryStep& step, ShardIndex index)
{
    QueryExecution& execution = step.m_execution;
    ShardProgress& shard = step.shard(index);
    if (execution.m_phase != QueryPhase::FanOut || shard.m_answered || shard.m_gaveUp || shard.m_openCalls > 0)
        return;
    const SnapshotRoutes* snapshot = step.snapshot();
    const QuerySettings& settings = step.m_context.m_settings;
    if (!snapshot || shard.m_sentCalls >= settings.m_maxAttemptsPerShard
        || shard.m_lostConnections >= settings.m_maxLostConnectionsPerShard)
        return giveUpShard(step, index);
    if (step.m_now < shard.m_notBefore)
        return;
    if (!step.m_context.m_leaseValid) {
        scheduleShardCheck(step, index, step.m_now + settings.m_waitPollInterval);
        return;
    }
    const ChoiceRequest request { snapshot->m_replicas[index.value()], shard.m_tried, ProbeUse::Allowed };
    const EndpointChoice choice
        = chooseEndpoint(step.m_context.m_routing, request, step.m_context.m_random, step.m_now);
    if (choice.m_endpoint) {
        const SendPurpose purpose = shard.m_sentCalls == 0 ? SendPurpose::First : SendPurpose::Retry;
        if (!sendCall(step, index, *choice.m_endpoint, purpose, false)) {
            // The lease was checked above, so the call failed for lack of an extra-load token. Other executions may use
            // the replica meanwhile.
            stopWaitingForReplica(step, index);
            scheduleShardCheck(step, index, step.m_now + recheckDelay(step));
        }
        return;
    }
    const bool comesTooLate = choice.m_retryAt && *choice.m_retryAt >= callDeadline(step);
    if (choice.m_rateLimitedUntil && comesTooLate && !choice.m_busy)
        return giveUpShard(step, index);
    if (choice.m_busy)
        waitForReplica(step, index);
    if (choice.m_busy || choice.m_retryAt) {
        const MonotonicTime poll = step.m_now + settings.m_waitPollInterval;
        scheduleShardCheck(step, index, std::min(choice.m_retryAt.value_or(poll), poll));
    } else if (!shard.m_tried.empty()) {
        retryAfterBackoff(step, index);
    } else {
        giveUpShard(step, index);
    }
}

void advanceWaitingShard(QueryStep& step, ShardIndex index)
{
    const ShardProgress& shard = step.shard(index);
    if (!shard.m_waiting)
        return;
    if (shard.m_openCalls == 0)
        return advanceShard(step, index);
    const auto& attempts = step.m_execution.m_attempts;
    const auto open = std::find_if(attempts.begin(), attempts.end(),
        [&](const QueryAttempt& attempt) { return attempt.m_shard == index && attempt.m_attempt.m_open; });
    hedgeAttempt(step, AttemptNumber(static_cast<std::uint32_t>(open - attempts.begin()) + 1));
}

void startFanOut(QueryStep& step)
{
    step.m_execution.m_phase = QueryPhase::FanOut;
    const auto shards = static_cast<std::uint32_t>(step.m_execution.m_shards.size());
    step.m_effects.reserve(step.m_effects.size() + shards + 2);
    for (std::uint32_t shard = 0; shard < shards; ++shard)
        advanceShard(step, ShardIndex(shard));
}

void hedgeAttempt(QueryStep& step, AttemptNumber number)
{
    QueryExecution& execution = step.m_execution;
    const QueryAttempt& attempt = execution.m_attempts[number.value() - 1];
    if (!attempt.m_attempt.m_open)
        return;
    ShardProgress& shard = step.shard(attempt.m_shard);
    const QuerySettings& settings = step.m_context.m_settings;
    const SnapshotRoutes* snapshot = step.snapshot();
    if (!snapshot || shard.m_answered || shard.m_sentCalls >= settings.m_maxAttemptsPerShard)
        return;
    if (shard.m_openCalls < settings.m_maxCallsInFlightPerShard) {
        const ShardIndex index = attempt.m_shard;
        const ChoiceRequest request { snapshot->m_replicas[index.value()], shard.m_tried, ProbeUse::Never };
        const EndpointChoice choice
            = chooseEndpoint(step.m_context.m_routing, request, step.m_context.m_random, step.m_now);
        const auto endpoint = choice.m_endpoint ? choice.m_endpoint : soleReplica(step, attempt);
        if (endpoint && sendCall(step, index, *endpoint, SendPurpose::Hedge, false))
            return;
        // A hedge waits for a free replica in the same queue as other calls, unless it lacks a token.
        if (!endpoint && choice.m_busy && step.stats().m_budget.m_tokens >= 1.0)
            waitForReplica(step, index);
        else
            stopWaitingForReplica(step, index);
    }
    scheduleHedgeCheck(step, number, step.m_now + recheckDelay(step));
}

void stopWaitingForReplica(QueryStep& step, ShardIndex index)
{
    QueryExecution& execution = step.m_execution;
    ShardProgress& shard = step.shard(index);
    if (!shard.m_waiting)
        return;
    shard.m_waiting = false;
    const auto waited = std::chrono::duration_cast<Microseconds>(step.m_now - shard.m_waitingSince);
    if (!shard.m_hedgeWaiting)
        execution.m_longestWait = std::max(execution.m_longestWait, waited);
    const ShardHolding holding { execution.m_version, execution.m_layout, index };
    stopWaiting(step.m_context.m_routing, execution.m_request.m_service, holding, execution.m_id);
}

void stopAllWaiting(QueryStep& step)
{
    for (std::uint32_t shard = 0; shard < step.m_execution.m_shards.size(); ++shard)
        stopWaitingForReplica(step, ShardIndex(shard));
}

void giveUpShard(QueryStep& step, ShardIndex index)
{
    ShardProgress& shard = step.shard(index);
    stopWaitingForReplica(step, index);
    shard.m_gaveUp = true;
    --step.m_execution.m_shardsOpen;
}

void closeAttempt(QueryStep& step, QueryAttempt& attempt, CallVerdict verdict, const EndpointReply* reply)
{
    if (!attempt.m_attempt.m_open)
        return;
    QueryExecution& execution = step.m_execution;
    endAttempt(step.m_context.m_routing, execution.m_request.m_service, attempt.m_attempt, verdict, reply, step.m_now);
    ShardProgress& shard = step.shard(attempt.m_shard);
    --shard.m_openCalls;
    if (reply && reply->m_outcome == CallOutcome::NotSent) {
        // No endpoint received the call, so it does not count as extra load.
        --execution.m_endpointRequests;
        if (attempt.m_attempt.m_tokenSpent)
            refundExtraLoad(step.stats().m_budget);
        else
            ++shard.m_freeSends;
    }
    if (reply && provesNotRun(*reply))
        ++execution.m_provenNotRun;
    wakeNextWaiting(step, attempt.m_attempt.m_endpoint);
}

void cancelAttempt(QueryStep& step, AttemptNumber number, CallVerdict verdict)
{
    QueryAttempt& attempt = step.m_execution.m_attempts[number.value() - 1];
    if (!attempt.m_attempt.m_open)
        return;
    step.m_effects.emplace_back(CancelCall { number });
    closeAttempt(step, attempt, verdict, nullptr);
}

void cancelAllCalls(QueryStep& step)
{
    QueryExecution& execution = step.m_execution;
    stopAllWaiting(step);
    for (std::uint32_t number = 1; number <= execution.m_attempts.size(); ++number) {
        const Attempt& attempt = execution.m_attempts[number - 1].m_attempt;
        const bool ranLong = step.m_now - attempt.m_sentAt >= step.hedgeAfter();
        cancelAttempt(step, AttemptNumber(number), ranLong ? CallVerdict::LostRace : CallVerdict::Abandoned);
    }
}

} // namespace flamingo::detail
