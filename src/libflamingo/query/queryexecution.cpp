#include "query/queryexecution.h"

#include "query/querystep.h"

#include <algorithm>

namespace flamingo {

namespace detail {

namespace {

bool isLater(const ScheduledCheck& a, const ScheduledCheck& b) { return a.m_at > b.m_at; }

double coverageOf(const QueryExecution& execution)
{
    if (execution.m_totalWeight == 0)
        return 0.0;
    return double(execution.m_answeredWeight) / double(execution.m_totalWeight);
}

bool hasReachedFloor(const QueryExecution& execution)
{
    constexpr double roundingTolerance = 1e-9;
    return execution.m_answeredWeight > 0
        && double(execution.m_answeredWeight) + roundingTolerance
        >= execution.m_coverageFloor * double(execution.m_totalWeight);
}

// Finishes the query with the results of the shards that have answered.
void finishWithResults(QueryStep& step)
{
    const QueryExecution& execution = step.m_execution;
    cancelAllCalls(step);
    const bool complete = execution.m_answeredWeight == execution.m_totalWeight;
    if (hasReachedFloor(execution)) {
        const bool partialAfterRemoval = !complete && execution.m_snapshotGone;
        return finishQuery(
            step, ResultCode::Ok, partialAfterRemoval ? "the snapshot was removed during the query" : "");
    }
    if (execution.m_snapshotGone)
        return finishQuery(step, ResultCode::SnapshotGone, "the snapshot was removed during the query");
    if (execution.m_answeredWeight > 0)
        return finishQuery(
            step, ResultCode::CoverageBelowFloor, "the shards that answered do not reach the coverage floor");
    if (step.mayHaveRun())
        return finishQuery(step,
            step.m_now >= execution.m_deadline ? ResultCode::DeadlineExceeded : ResultCode::EndpointFailed,
            "no shard answered");
    if (execution.m_shedRetryAfter.count() > 0)
        return finishQuery(step, ResultCode::EndpointRefused, "the endpoints refused the query");
    if (execution.m_longestWait.count() > 0)
        return finishQuery(step, ResultCode::Overloaded, "all endpoints were busy until the deadline");
    finishQuery(step, ResultCode::NoEndpoint, "no endpoint could be reached");
}

void advanceWaitingShards(QueryStep& step)
{
    for (std::uint32_t shard = 0; shard < step.m_execution.m_shards.size(); ++shard) {
        advanceWaitingShard(step, ShardIndex(shard));
    }
}

void runCheck(QueryStep& step, const ScheduledCheck& check)
{
    const QueryExecution& execution = step.m_execution;
    if (check.m_snapshotRun != execution.m_snapshotRun)
        return;
    switch (check.m_kind) {
    case ScheduledCheck::Kind::Canary:
        if (step.m_execution.m_canary.m_checkAt == check.m_at)
            step.m_execution.m_canary.m_checkAt.reset();
        advanceCanary(step);
        break;
    case ScheduledCheck::Kind::Snapshot:
        recheckSnapshot(step);
        break;
    case ScheduledCheck::Kind::Hedge:
        if (step.m_execution.m_attempts[check.m_subject - 1].m_checkAt == check.m_at)
            step.m_execution.m_attempts[check.m_subject - 1].m_checkAt.reset();
        if (execution.m_phase == QueryPhase::FanOut)
            hedgeAttempt(step, AttemptNumber(check.m_subject));
        else if (execution.m_attempts[check.m_subject - 1].m_attempt.m_open)
            advanceCanary(step);
        break;
    case ScheduledCheck::Kind::Shard:
        if (execution.m_phase == QueryPhase::Canary)
            return advanceCanary(step);
        if (check.m_subject == ScheduledCheck::allWaitingShards)
            return advanceWaitingShards(step);
        if (step.shard(ShardIndex(check.m_subject)).m_checkAt == check.m_at)
            step.shard(ShardIndex(check.m_subject)).m_checkAt.reset();
        advanceShard(step, ShardIndex(check.m_subject));
        break;
    }
}

void runDueChecks(QueryStep& step)
{
    auto& checks = step.m_execution.m_scheduledChecks;
    while (step.m_execution.m_phase != QueryPhase::Finished && !checks.empty() && checks.front().m_at <= step.m_now) {
        const ScheduledCheck next = checks.front();
        std::pop_heap(checks.begin(), checks.end(), isLater);
        checks.pop_back();
        runCheck(step, next);
    }
}

void handleCapacityFreed(QueryStep& step, EndpointIndex endpoint)
{
    QueryExecution& execution = step.m_execution;
    if (endpoint.value() >= step.m_context.m_routing.m_table.m_endpoints.size())
        return;
    if (execution.m_phase == QueryPhase::Canary)
        advanceCanary(step);
    // Copied, since references into the routes must not be held while calls are sent.
    const auto holdings = step.m_context.m_routing.m_table.m_endpoints[endpoint.value()].m_holdings;
    for (const ShardHolding& holding : holdings) {
        if (execution.m_phase == QueryPhase::FanOut && holding.m_version == execution.m_version
            && holding.m_layout == execution.m_layout && holding.m_shard.value() < execution.m_shards.size())
            advanceWaitingShard(step, holding.m_shard);
    }
    // This execution may have stopped waiting, or may have used another replica. The endpoint is then offered to the
    // execution that has waited longest. If that is this one, it cannot use the endpoint and is not woken again, since
    // the two events would repeat without end.
    const auto next = nextWaiting(step.m_context.m_routing, endpoint);
    if (next && *next != execution.m_id && canTakeCall(step.m_context.m_routing, endpoint, step.m_now))
        step.m_effects.emplace_back(WakeExecution { *next, endpoint });
}

void armTimer(QueryStep& step)
{
    QueryExecution& execution = step.m_execution;
    if (execution.m_phase == QueryPhase::Finished)
        return;
    MonotonicTime next = execution.m_deadline;
    if (execution.m_floorReachedAt && execution.m_preference == AnswerPreference::Early)
        next = std::min(next, *execution.m_floorReachedAt + execution.m_patience);
    if (!execution.m_scheduledChecks.empty())
        next = std::min(next, execution.m_scheduledChecks.front().m_at);
    if (execution.m_timerAt && *execution.m_timerAt <= next)
        return;
    execution.m_timerAt = next;
    step.m_effects.emplace_back(SetTimer { next });
}

struct EventVisitor {
    QueryStep& m_step;

    void operator()(QueryStarted&)
    {
        if (m_step.m_execution.m_phase == QueryPhase::Idle)
            startQuery(m_step);
    }
    void operator()(CallReplied& event) { handleReply(m_step, std::move(event)); }
    void operator()(TimerExpired&) { m_step.m_execution.m_timerAt.reset(); }
    void operator()(StateChanged&) { handleStateChange(m_step); }
    void operator()(CapacityFreed& event) { handleCapacityFreed(m_step, event.m_endpoint); }
    void operator()(QuarantineDecided& event) { handleQuarantineDecision(m_step, event); }
};

} // namespace

const ServiceRoutes* QueryStep::service() const
{
    return findService(m_context.m_routing.m_table, m_execution.m_request.m_service);
}

const SnapshotRoutes* QueryStep::snapshot() const
{
    const ServiceRoutes* routes = service();
    const SnapshotRoutes* found = routes ? findSnapshot(*routes, m_execution.m_version, m_execution.m_layout) : nullptr;
    return found && found->m_generation == m_execution.m_layoutGeneration ? found : nullptr;
}

ServiceStats& QueryStep::stats() const { return serviceStats(m_context.m_routing, m_execution.m_request.m_service); }

Microseconds QueryStep::hedgeAfter() const { return hedgeDelay(stats().m_latency, m_context.m_routing.m_settings); }

void scheduleCheck(QueryStep& step, MonotonicTime at, ScheduledCheck::Kind kind, std::uint32_t subject)
{
    auto& checks = step.m_execution.m_scheduledChecks;
    checks.push_back({ at, kind, subject, step.m_execution.m_snapshotRun });
    std::push_heap(checks.begin(), checks.end(), isLater);
}

void scheduleShardCheck(QueryStep& step, ShardIndex index, MonotonicTime at)
{
    auto& checkAt = step.shard(index).m_checkAt;
    if (checkAt && *checkAt <= at)
        return;
    checkAt = at;
    scheduleCheck(step, at, ScheduledCheck::Kind::Shard, index.value());
}

void scheduleHedgeCheck(QueryStep& step, AttemptNumber number, MonotonicTime at)
{
    auto& checkAt = step.m_execution.m_attempts[number.value() - 1].m_checkAt;
    if (checkAt && *checkAt <= at)
        return;
    checkAt = at;
    scheduleCheck(step, at, ScheduledCheck::Kind::Hedge, number.value());
}

void scheduleCanaryCheck(QueryStep& step, MonotonicTime at)
{
    auto& checkAt = step.m_execution.m_canary.m_checkAt;
    if (checkAt && *checkAt <= at)
        return;
    checkAt = at;
    scheduleCheck(step, at, ScheduledCheck::Kind::Canary, 0);
}

void finishQuery(QueryStep& step, ResultCode code, std::string text)
{
    QueryExecution& execution = step.m_execution;
    if (execution.m_phase == QueryPhase::Finished)
        return;
    cancelAllCalls(step);
    execution.m_phase = QueryPhase::Finished;
    FinishQuery finish;
    QueryAnswer& answer = finish.m_answer;
    answer.m_code = code;
    answer.m_text = std::move(text);
    answer.m_id = execution.m_request.m_id;
    answer.m_snapshot = execution.m_version;
    answer.m_layout = execution.m_layout;
    answer.m_shardsAnswered = execution.m_shardsAnswered;
    answer.m_shardsTotal = static_cast<std::uint32_t>(execution.m_weights.size());
    answer.m_coverage = coverageOf(execution);
    answer.m_configurationVersion = step.m_context.m_routing.m_table.m_configurationVersion;
    answer.m_hits = mergedHits(execution.m_merger);
    answer.m_endpointRequests = execution.m_endpointRequests;
    if (resultClass(code) == ResultClass::NotRun)
        answer.m_retryAfter = execution.m_shedRetryAfter;
    step.m_effects.emplace_back(std::move(finish));
}

void finishIfDone(QueryStep& step)
{
    QueryExecution& execution = step.m_execution;
    if (execution.m_phase == QueryPhase::Finished || execution.m_phase == QueryPhase::Idle)
        return;
    if (step.m_now >= execution.m_deadline || (execution.m_phase == QueryPhase::FanOut && execution.m_shardsOpen == 0))
        return finishWithResults(step);
    if (execution.m_phase != QueryPhase::FanOut || !hasReachedFloor(execution))
        return;
    if (!execution.m_floorReachedAt)
        execution.m_floorReachedAt = step.m_now;
    if (execution.m_preference == AnswerPreference::Early
        && step.m_now >= *execution.m_floorReachedAt + execution.m_patience)
        finishWithResults(step);
}

} // namespace detail

QueryExecution makeQueryExecution(ExecutionId id, QueryRequest request)
{
    QueryExecution execution;
    execution.m_id = id;
    execution.m_request = std::move(request);
    return execution;
}

QueryEffects stepQuery(QueryExecution& execution, QueryEvent event, QueryContext& context, MonotonicTime now)
{
    if (execution.m_phase == QueryPhase::Finished) {
        if (std::holds_alternative<CallReplied>(event))
            ++serviceStats(context.m_routing, execution.m_request.m_service).m_counters.m_droppedReplies;
        return {};
    }
    detail::QueryStep step { execution, context, now, {} };
    std::visit(detail::EventVisitor { step }, event);
    if (execution.m_phase == QueryPhase::Idle)
        return std::move(step.m_effects);
    // A reply that arrives at the deadline still counts, but no new call is sent.
    if (now < execution.m_deadline)
        detail::runDueChecks(step);
    detail::finishIfDone(step);
    detail::armTimer(step);
    return std::move(step.m_effects);
}

} // namespace flamingo
