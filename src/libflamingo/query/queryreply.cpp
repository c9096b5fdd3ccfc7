#include "query/querystep.h"

#include <algorithm>

namespace flamingo::detail {

namespace {

// During the fan-out, an execution stops reporting deaths at this number; a quarantine needs two.
constexpr std::uint32_t maxDeathReports = 2;

bool matchesCall(const QueryExecution& execution, const QueryAttempt& attempt, const CallReplied& event)
{
    const EndpointReply& reply = event.m_reply;
    return reply.m_request == execution.m_request.m_id && reply.m_attempt == event.m_attempt
        && reply.m_snapshot == execution.m_version && reply.m_layout == execution.m_layout
        && reply.m_shard == attempt.m_shard;
}

// Counts the shard as answered and cancels its other calls.
void acceptAnswer(QueryStep& step, std::uint32_t number)
{
    QueryExecution& execution = step.m_execution;
    const ShardIndex index = execution.m_attempts[number - 1].m_shard;
    const MonotonicTime winnerSentAt = execution.m_attempts[number - 1].m_attempt.m_sentAt;
    ShardProgress& shard = step.shard(index);
    // A shard that was given up can still answer if one of its calls was open at that time.
    if (!shard.m_gaveUp)
        --execution.m_shardsOpen;
    shard.m_answered = true;
    stopWaitingForReplica(step, index);
    ++execution.m_shardsAnswered;
    execution.m_answeredWeight += execution.m_weights[index.value()];
    for (std::uint32_t other = 1; shard.m_openCalls > 0 && other <= execution.m_attempts.size(); ++other) {
        const QueryAttempt& loser = execution.m_attempts[other - 1];
        if (loser.m_shard == index && loser.m_attempt.m_open) {
            const bool sentEarlier = loser.m_attempt.m_sentAt < winnerSentAt;
            cancelAttempt(step, AttemptNumber(other), sentEarlier ? CallVerdict::LostRace : CallVerdict::Abandoned);
        }
    }
}

void handleFailedCall(QueryStep& step, const Attempt& attempt, ShardIndex index, const EndpointReply& reply)
{
    QueryExecution& execution = step.m_execution;
    ShardProgress& shard = step.shard(index);
    if (provesNotRun(reply) && reply.m_outcome == CallOutcome::Answered) {
        execution.m_shedRetryAfter = std::max(execution.m_shedRetryAfter, reply.m_retryAfter);
        ++shard.m_unreplacedRefusals;
        // The endpoint may be asked again after the wait that it asked for, which its statistics hold.
        shard.m_tried.erase(
            std::remove(shard.m_tried.begin(), shard.m_tried.end(), attempt.m_endpoint), shard.m_tried.end());
    }
    if (reply.m_outcome == CallOutcome::ConnectionLost) {
        ++shard.m_lostConnections;
        reportDeath(step, attempt);
    }
    if (execution.m_phase == QueryPhase::Canary)
        return canaryFailed(step, attempt, reply);
    advanceShard(step, index);
    // If another call of the shard is still open, it is hedged again at once.
    for (std::uint32_t other = 1; shard.m_openCalls > 0 && other <= execution.m_attempts.size(); ++other) {
        if (execution.m_attempts[other - 1].m_shard == index)
            hedgeAttempt(step, AttemptNumber(other));
    }
}

} // namespace

void reportDeath(QueryStep& step, const Attempt& attempt)
{
    QueryExecution& execution = step.m_execution;
    if (execution.m_reportedDeaths >= maxDeathReports && execution.m_phase == QueryPhase::FanOut)
        return;
    if (isKnownGood(step.m_context.m_fingerprints, execution.m_fingerprint))
        return;
    ++execution.m_reportedDeaths;
    ++execution.m_canary.m_reportedDeaths;
    execution.m_canary.m_notBefore = step.m_now + step.m_context.m_settings.m_decisionTimeout;
    execution.m_canary.m_crashed.push_back(attempt.m_endpointId);
    ++step.stats().m_counters.m_deaths;
    recordCrash(step.m_context.m_fingerprints, execution.m_fingerprint, attempt.m_endpointId, step.m_now);
    ReportDeath report;
    report.m_endpoint = attempt.m_endpointId;
    report.m_incarnation = attempt.m_incarnation;
    report.m_service = execution.m_request.m_service;
    report.m_suspects = { execution.m_fingerprint };
    step.m_effects.emplace_back(std::move(report));
}

void handleReply(QueryStep& step, CallReplied event)
{
    QueryExecution& execution = step.m_execution;
    RoutingCounters& counters = step.stats().m_counters;
    const std::uint32_t number = event.m_attempt.value();
    if (number == 0 || number > execution.m_attempts.size() || !execution.m_attempts[number - 1].m_attempt.m_open) {
        ++counters.m_droppedReplies;
        return;
    }
    QueryAttempt& attempt = execution.m_attempts[number - 1];
    const ShardIndex index = attempt.m_shard;
    const Attempt ended = attempt.m_attempt;
    CallVerdict verdict = verdictOf(event.m_reply);
    if (verdict == CallVerdict::Answered && !matchesCall(execution, attempt, event)) {
        ++counters.m_droppedReplies;
        verdict = CallVerdict::Failed;
    }
    if (verdict == CallVerdict::Answered && !addShardHits(execution.m_merger, index, std::move(event.m_reply.m_body))) {
        ++counters.m_malformedReplies;
        verdict = CallVerdict::Failed;
    }
    closeAttempt(step, attempt, verdict, &event.m_reply);
    if (verdict != CallVerdict::Answered)
        return handleFailedCall(step, ended, index, event.m_reply);
    acceptAnswer(step, number);
    if (recordSuccess(step.m_context.m_fingerprints, execution.m_fingerprint, step.m_now))
        step.m_effects.emplace_back(MarkSuccess { execution.m_fingerprint });
    if (execution.m_phase == QueryPhase::Canary)
        canarySucceeded(step);
}

} // namespace flamingo::detail
