#include "base/hash.h"
#include "query/querystep.h"
#include "query/snapshotchoice.h"

#include <algorithm>
#include <string>

namespace flamingo::detail {

namespace {

bool isQuarantined(const QueryStep& step)
{
    const PublishedState& state = *step.m_context.m_routing.m_state;
    return state.m_quarantine.count(step.m_execution.m_fingerprint) > 0;
}

// Returns the shortest deadline that a query can meet: the latency of the fastest calls of the service once there are
// enough samples, and at least the minimum of the settings.
Microseconds shortestUsefulDeadline(const QueryStep& step)
{
    const Microseconds minimum = step.m_context.m_settings.m_minDeadline;
    const LatencyDistribution& latency = step.stats().m_latency;
    if (latencySamples(latency) < step.m_context.m_routing.m_settings.m_samplesForHedgeDelay)
        return minimum;
    constexpr double fastestQuantile = 0.01;
    return std::max(minimum, latencyQuantile(latency, fastestQuantile).value_or(minimum));
}

// Returns the total weight of the shards that have answered or may still answer.
std::uint64_t attainableWeight(const QueryStep& step, const SnapshotRoutes* snapshot, bool countOpenCalls)
{
    const QueryExecution& execution = step.m_execution;
    const auto& endpoints = step.m_context.m_routing.m_table.m_endpoints;
    std::uint64_t weight = execution.m_answeredWeight;
    for (std::size_t shard = 0; shard < execution.m_shards.size(); ++shard) {
        const ShardProgress& progress = execution.m_shards[shard];
        if (progress.m_answered || progress.m_gaveUp)
            continue;
        bool attainable = countOpenCalls && progress.m_openCalls > 0;
        if (!attainable && snapshot) {
            const auto& replicas = snapshot->m_replicas[shard];
            attainable = std::any_of(replicas.begin(), replicas.end(),
                [&](EndpointIndex index) { return !endpoints[index.value()].m_draining; });
        }
        if (attainable)
            weight += execution.m_weights[shard];
    }
    return weight;
}

bool hasTimeToRestart(const QueryStep& step)
{
    const auto needed = 2 * step.hedgeAfter();
    return step.m_now + needed < step.m_execution.m_deadline;
}

// Restarts on another snapshot if the present one can no longer reach the wanted coverage and another one has a higher
// available coverage. Returns whether the query was restarted.
bool restartOnOtherSnapshot(QueryStep& step, std::uint64_t attainable)
{
    QueryExecution& execution = step.m_execution;
    const double coverage = double(attainable) / double(std::max<std::uint64_t>(execution.m_totalWeight, 1));
    const bool enough
        = attainable > 0 && double(attainable) + 1e-9 >= execution.m_coverageFloor * double(execution.m_totalWeight);
    if (enough && execution.m_preference == AnswerPreference::Early)
        return false;
    const QuerySettings& settings = step.m_context.m_settings;
    if (!step.m_context.m_leaseValid || execution.m_snapshotRun >= settings.m_maxRestarts || !hasTimeToRestart(step))
        return false;
    Reason reason;
    const auto otherId = chooseSnapshot(*step.service(), execution.m_coverageFloor, reason);
    if (!otherId || *otherId == SnapshotId(execution.m_version, execution.m_layout))
        return false;
    const SnapshotRoutes* routes = findSnapshot(*step.service(), otherId->first, otherId->second);
    if (availableCoverage(*routes) <= coverage)
        return false;
    cancelAllCalls(step);
    ++execution.m_snapshotRun;
    ++step.stats().m_counters.m_restarts;
    beginOnSnapshot(step, *otherId);
    return true;
}

// Resumes a shard that was given up before any call because it had no replica, if it has one now.
void reopenShard(QueryStep& step, const SnapshotRoutes* snapshot, ShardIndex index)
{
    ShardProgress& shard = step.shard(index);
    if (!snapshot || !shard.m_gaveUp || shard.m_sentCalls > 0 || snapshot->m_replicas[index.value()].empty())
        return;
    shard.m_gaveUp = false;
    ++step.m_execution.m_shardsOpen;
}

} // namespace

void beginOnSnapshot(QueryStep& step, const SnapshotId& id)
{
    QueryExecution& execution = step.m_execution;
    const SnapshotRoutes& snapshot = *findSnapshot(*step.service(), id.first, id.second);
    execution.m_version = id.first;
    execution.m_layout = id.second;
    execution.m_layoutGeneration = snapshot.m_generation;
    execution.m_weights = snapshot.m_weights;
    execution.m_totalWeight = snapshot.m_totalWeight;
    execution.m_answeredWeight = 0;
    execution.m_shardsAnswered = 0;
    execution.m_shardsOpen = static_cast<std::uint32_t>(snapshot.m_weights.size());
    execution.m_snapshotGone = false;
    execution.m_shards.assign(snapshot.m_weights.size(), ShardProgress());
    execution.m_scheduledChecks.clear();
    execution.m_floorReachedAt.reset();
    execution.m_merger = HitMerger();
    execution.m_merger.m_limit = execution.m_request.m_limit;
    const bool known = isKnownGood(step.m_context.m_fingerprints, execution.m_fingerprint);
    if (step.service()->m_definition.m_canary && !known)
        startCanary(step);
    else
        startFanOut(step);
}

void startQuery(QueryStep& step)
{
    QueryExecution& execution = step.m_execution;
    const QueryRequest& request = execution.m_request;
    execution.m_startedAt = step.m_now;
    execution.m_deadline = step.m_now;
    execution.m_fingerprint = requestFingerprint(request.m_service, "query", request.m_body);
    if (!step.m_context.m_leaseValid)
        return finishQuery(step, ResultCode::NoLease, "this VM holds no valid lease");
    const ServiceRoutes* service = step.service();
    if (!service)
        return finishQuery(step, ResultCode::UnknownService, "unknown service \"" + request.m_service.value() + "\"");
    const ServiceDefinition& definition = service->m_definition;
    execution.m_coverageFloor = request.m_coverageFloor.value_or(definition.m_coverageFloor);
    if (!(execution.m_coverageFloor >= 0.0 && execution.m_coverageFloor <= 1.0))
        return finishQuery(step, ResultCode::InvalidField, "the coverage floor must be between 0 and 1");
    execution.m_preference = definition.m_preference;
    execution.m_patience = definition.m_patience;
    if (isQuarantined(step))
        return finishQuery(step, ResultCode::Quarantined, "the request crashed two endpoints and is quarantined");
    const Milliseconds deadline = request.m_deadline.value_or(definition.m_deadline);
    if (deadline < shortestUsefulDeadline(step))
        return finishQuery(step, ResultCode::DeadlineTooShort,
            "a deadline of " + std::to_string(deadline.count())
                + " ms is shorter than the fastest answers; set a longer one");
    execution.m_deadline = step.m_now + std::min(deadline, step.m_context.m_settings.m_maxDeadline);
    Reason reason;
    const auto snapshot = chooseSnapshot(*service, execution.m_coverageFloor, reason);
    if (!snapshot)
        return finishQuery(step, reason.m_code, reason.m_text);
    beginOnSnapshot(step, *snapshot);
}

void handleStateChange(QueryStep& step)
{
    QueryExecution& execution = step.m_execution;
    if (!step.service())
        return finishQuery(step, ResultCode::SnapshotGone, "the service was dropped during the query");
    if (isQuarantined(step)) {
        const ResultCode code = step.mayHaveRun() ? ResultCode::EndpointFailed : ResultCode::Quarantined;
        return finishQuery(step, code, "the request crashed two endpoints and is quarantined");
    }
    if (execution.m_phase == QueryPhase::AwaitingDecision)
        return;
    const SnapshotRoutes* snapshot = step.snapshot();
    const std::uint64_t attainable = attainableWeight(step, snapshot, true);
    execution.m_snapshotGone = !snapshot;
    if (attainable < execution.m_totalWeight && restartOnOtherSnapshot(step, attainable))
        return;
    // Open calls on a removed snapshot may still answer, but cannot be hedged.
    if (!snapshot)
        scheduleCheck(step, step.m_now + step.hedgeAfter(), ScheduledCheck::Kind::Snapshot, 0);
    if (execution.m_phase == QueryPhase::Canary) {
        if (!snapshot && execution.m_canary.m_exposed.empty())
            return finishQuery(step, ResultCode::SnapshotGone, "the snapshot was removed during the query");
        return advanceCanary(step);
    }
    if (execution.m_phase != QueryPhase::FanOut)
        return;
    for (std::uint32_t shard = 0; shard < execution.m_shards.size(); ++shard) {
        reopenShard(step, snapshot, ShardIndex(shard));
        advanceShard(step, ShardIndex(shard));
    }
    // A removed endpoint may never answer, so its open calls are hedged at once.
    for (std::uint32_t number = 1; number <= execution.m_attempts.size(); ++number) {
        const Attempt& attempt = execution.m_attempts[number - 1].m_attempt;
        if (attempt.m_open && !isEndpointKnown(step.m_context.m_routing, attempt))
            hedgeAttempt(step, AttemptNumber(number));
    }
}

void recheckSnapshot(QueryStep& step)
{
    if (step.m_execution.m_phase == QueryPhase::AwaitingDecision || step.snapshot() || !step.service())
        return;
    restartOnOtherSnapshot(step, attainableWeight(step, nullptr, false));
}

} // namespace flamingo::detail
