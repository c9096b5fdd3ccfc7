#include "query/querystep.h"
#include "routing/connectionshare.h"

#include <algorithm>

namespace flamingo::detail {

namespace {

// Number of ranked endpoints kept. m_maxEndpoints grows by one with each decision against a quarantine.
constexpr std::size_t maxRankedEndpoints = 6;

struct RankedEndpoint {
    std::uint64_t m_score = 0;
    EndpointIndex m_endpoint;
};

bool contains(const std::vector<EndpointId>& list, const EndpointId& id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

std::vector<RankedEndpoint> rankedEndpoints(const QueryStep& step)
{
    const RoutingTable& table = step.m_context.m_routing.m_table;
    std::vector<RankedEndpoint> ranked;
    for (const auto& replicas : step.snapshot()->m_replicas) {
        for (const EndpointIndex index : replicas) {
            const EndpointRoute& route = table.m_endpoints[index.value()];
            if (!route.m_draining)
                ranked.push_back({ rendezvousScore(step.m_execution.m_fingerprint.value(), route.m_idHash), index });
        }
    }
    // An endpoint that holds several shards appears more than once. The index breaks ties between equal scores, so that
    // its entries are adjacent and std::unique() removes the duplicates.
    std::sort(ranked.begin(), ranked.end(), [](const RankedEndpoint& a, const RankedEndpoint& b) {
        return a.m_score != b.m_score ? a.m_score > b.m_score : a.m_endpoint < b.m_endpoint;
    });
    const auto sameEndpoint
        = [](const RankedEndpoint& a, const RankedEndpoint& b) { return a.m_endpoint == b.m_endpoint; };
    ranked.erase(std::unique(ranked.begin(), ranked.end(), sameEndpoint), ranked.end());
    return ranked;
}

// Moves the highest-ranked endpoint of another data centre to the second place, so that the loss of one data centre
// affects only one of the first two. All VMs with the same state compute the same order.
void separateFirstTwo(const QueryStep& step, std::vector<RankedEndpoint>& ranked)
{
    if (ranked.empty())
        return;
    const auto& endpoints = step.m_context.m_routing.m_table.m_endpoints;
    const DataCentreName& first = endpoints[ranked.front().m_endpoint.value()].m_dataCentre;
    const auto other = std::find_if(ranked.begin() + 1, ranked.end(),
        [&](const RankedEndpoint& entry) { return endpoints[entry.m_endpoint.value()].m_dataCentre != first; });
    if (other != ranked.end())
        std::rotate(ranked.begin() + 1, other, other + 1);
}

// Returns whether the endpoint has been ejected for so long that the current request did not crash it.
bool isLongEjected(const QueryStep& step, EndpointIndex endpoint)
{
    const EndpointStats& stats = step.m_context.m_routing.m_endpoints[endpoint.value()];
    return stats.m_ejected && step.m_now - stats.m_ejectedAt > step.m_context.m_settings.m_maxQuarantineDelay;
}

std::optional<EndpointIndex> positionOf(const QueryStep& step, const EndpointId& id)
{
    const auto& positions = step.m_context.m_routing.m_table.m_positions;
    const auto position = positions.find(id);
    if (position == positions.end())
        return std::nullopt;
    return position->second;
}

// Returns the shard of the snapshot that the endpoint holds. If there are several, returns the one with the fewest
// sent calls, so that the second attempt does not repeat the shard of the first.
std::optional<ShardIndex> shardFor(const QueryStep& step, EndpointIndex endpoint)
{
    const QueryExecution& execution = step.m_execution;
    std::optional<ShardIndex> found;
    for (const ShardHolding& holding : step.m_context.m_routing.m_table.m_endpoints[endpoint.value()].m_holdings) {
        if (holding.m_version != execution.m_version || holding.m_layout != execution.m_layout
            || holding.m_shard.value() >= execution.m_shards.size())
            continue;
        if (!found || step.shard(*found).m_sentCalls > step.shard(holding.m_shard).m_sentCalls)
            found = holding.m_shard;
    }
    return found;
}

bool mayAsk(const QueryStep& step, const EndpointId& id, std::size_t rank)
{
    const CanaryStage& canary = step.m_execution.m_canary;
    if (contains(canary.m_asked, id))
        return false;
    return contains(canary.m_exposed, id)
        || (rank < canary.m_maxEndpoints && canary.m_exposed.size() < canary.m_maxEndpoints);
}

struct OpenCalls {
    std::uint32_t m_count = 0;
    MonotonicTime m_latestSentAt {};
};

OpenCalls openCalls(const QueryExecution& execution)
{
    OpenCalls open;
    for (const QueryAttempt& attempt : execution.m_attempts) {
        if (attempt.m_attempt.m_open) {
            ++open.m_count;
            open.m_latestSentAt = std::max(open.m_latestSentAt, attempt.m_attempt.m_sentAt);
        }
    }
    return open;
}

// Sends the request to the endpoint if it can take a call. An endpoint runs only one suspect request at a time, since
// its death would count against each of them.
bool askEndpoint(QueryStep& step, const EndpointId& id)
{
    const auto endpoint = positionOf(step, id);
    if (!endpoint || !canTakeCall(step.m_context.m_routing, *endpoint, step.m_now))
        return false;
    CanaryStage& canary = step.m_execution.m_canary;
    const bool suspect = canary.m_reportedDeaths > 0
        || step.m_context.m_fingerprints.m_suspects.count(step.m_execution.m_fingerprint) > 0;
    if (suspect && step.m_context.m_routing.m_endpoints[endpoint->value()].m_suspectCalls > 0)
        return false;
    const auto shard = shardFor(step, *endpoint);
    if (!shard || !sendCall(step, *shard, *endpoint, SendPurpose::Canary, suspect))
        return false;
    stopAllWaiting(step);
    canary.m_asked.push_back(id);
    if (!contains(canary.m_exposed, id))
        canary.m_exposed.push_back(id);
    return true;
}

void awaitCapacity(QueryStep& step)
{
    QueryExecution& execution = step.m_execution;
    for (const EndpointId& id : execution.m_canary.m_rankedEndpoints) {
        const auto endpoint = positionOf(step, id);
        const auto shard = endpoint ? shardFor(step, *endpoint) : std::nullopt;
        if (!shard || step.shard(*shard).m_waiting || contains(execution.m_canary.m_asked, id))
            continue;
        step.shard(*shard).m_waiting = true;
        step.shard(*shard).m_waitingSince = step.m_now;
        const ShardHolding holding { execution.m_version, execution.m_layout, *shard };
        waitForShard(step.m_context.m_routing, execution.m_request.m_service, holding, execution.m_id);
        break;
    }
    scheduleCanaryCheck(step, step.m_now + step.m_context.m_settings.m_waitPollInterval);
}

bool isExhausted(const QueryStep& step)
{
    const CanaryStage& canary = step.m_execution.m_canary;
    for (std::size_t rank = 0; rank < canary.m_rankedEndpoints.size(); ++rank) {
        if (mayAsk(step, canary.m_rankedEndpoints[rank], rank))
            return false;
    }
    return true;
}

} // namespace

void startCanary(QueryStep& step)
{
    QueryExecution& execution = step.m_execution;
    CanaryStage& canary = execution.m_canary;
    execution.m_phase = QueryPhase::Canary;
    const CanaryRestriction restriction
        = canaryRestriction(step.m_context.m_fingerprints, execution.m_fingerprint, step.m_now);
    if (restriction == CanaryRestriction::Refuse) {
        const ResultCode code = step.mayHaveRun() ? ResultCode::EndpointFailed : ResultCode::Quarantined;
        return finishQuery(step, code, "the request crashed two endpoints; the decision on its quarantine is pending");
    }
    std::vector<RankedEndpoint> ranked = rankedEndpoints(step);
    separateFirstTwo(step, ranked);
    canary.m_rankedEndpoints.clear();
    canary.m_asked = canary.m_crashed;
    canary.m_checkAt.reset();
    bool skippedPreferred = false;
    for (const RankedEndpoint& entry : ranked) {
        const bool unreachable = endpointShare(step.m_context.m_routing.m_table, entry.m_endpoint) == 0;
        if (unreachable || isLongEjected(step, entry.m_endpoint))
            skippedPreferred = skippedPreferred || canary.m_rankedEndpoints.size() < 2;
        else if (canary.m_rankedEndpoints.size() < maxRankedEndpoints)
            canary.m_rankedEndpoints.push_back(
                step.m_context.m_routing.m_table.m_endpoints[entry.m_endpoint.value()].m_id);
    }
    // Other VMs may ask an endpoint that is skipped here, so that the request could crash more than two endpoints if
    // this VM did not wait for the decision after each death.
    canary.m_oneAtATime = canary.m_oneAtATime || skippedPreferred || restriction == CanaryRestriction::OneAtATime;
    if (canary.m_oneAtATime && canary.m_exposed.empty())
        canary.m_maxEndpoints = 1;
    if (canary.m_rankedEndpoints.empty())
        return finishQuery(step, ResultCode::NoEndpoint, "no endpoint of the snapshot can be reached");
    advanceCanary(step);
}

void advanceCanary(QueryStep& step)
{
    QueryExecution& execution = step.m_execution;
    CanaryStage& canary = execution.m_canary;
    if (execution.m_phase != QueryPhase::Canary)
        return;
    if (step.m_now < canary.m_notBefore)
        return scheduleCanaryCheck(step, canary.m_notBefore);
    const OpenCalls open = openCalls(execution);
    const bool isHedge = open.m_count > 0;
    if (open.m_count > 1 || (isHedge && canary.m_oneAtATime))
        return;
    // The second attempt is sent when the first one has run for the hedge delay.
    if (isHedge && step.m_now < open.m_latestSentAt + step.hedgeAfter())
        return scheduleCanaryCheck(step, open.m_latestSentAt + step.hedgeAfter());
    for (std::size_t rank = 0; rank < canary.m_rankedEndpoints.size(); ++rank) {
        if (mayAsk(step, canary.m_rankedEndpoints[rank], rank) && askEndpoint(step, canary.m_rankedEndpoints[rank]))
            return;
    }
    if (!isExhausted(step))
        return awaitCapacity(step);
    if (isHedge)
        return;
    if (canary.m_reportedDeaths > 0) {
        execution.m_phase = QueryPhase::AwaitingDecision;
        return;
    }
    finishQuery(step, ResultCode::EndpointFailed, "the endpoints of the canary stage failed to answer the request");
}

void canarySucceeded(QueryStep& step)
{
    QueryExecution& execution = step.m_execution;
    stopAllWaiting(step);
    // The hedge checks of the canary stage have expired, so they are scheduled again for the calls still open.
    for (std::uint32_t number = 1; number <= execution.m_attempts.size(); ++number) {
        const Attempt& attempt = execution.m_attempts[number - 1].m_attempt;
        if (attempt.m_open)
            scheduleHedgeCheck(step, AttemptNumber(number), attempt.m_sentAt + step.hedgeAfter());
    }
    startFanOut(step);
}

void canaryFailed(QueryStep& step, const Attempt& attempt, const EndpointReply& reply)
{
    CanaryStage& canary = step.m_execution.m_canary;
    const auto removeFrom = [&](std::vector<EndpointId>& list) {
        list.erase(std::remove(list.begin(), list.end(), attempt.m_endpointId), list.end());
    };
    if (provesNotRun(reply)) {
        // The request did not run, so the endpoint may be asked again and does not count as exposed.
        removeFrom(canary.m_exposed);
        removeFrom(canary.m_asked);
    } else if (reply.m_outcome == CallOutcome::Answered) {
        // The endpoint survived the request, so a further attempt carries no higher risk than this one.
        removeFrom(canary.m_exposed);
        canary.m_maxEndpoints = std::max(canary.m_maxEndpoints, 2U);
    }
    advanceCanary(step);
}

void handleQuarantineDecision(QueryStep& step, const QuarantineDecided& event)
{
    QueryExecution& execution = step.m_execution;
    CanaryStage& canary = execution.m_canary;
    ++canary.m_appliedReports;
    if (event.m_quarantined)
        return finishQuery(step, ResultCode::EndpointFailed, "the request crashed two endpoints and is quarantined");
    if (canary.m_appliedReports < canary.m_reportedDeaths)
        return;
    canary.m_notBefore = MonotonicTime {};
    if (execution.m_phase == QueryPhase::Canary)
        return advanceCanary(step);
    if (execution.m_phase != QueryPhase::AwaitingDecision)
        return;
    // Without a quarantine, exactly one more endpoint may be asked.
    execution.m_phase = QueryPhase::Canary;
    canary.m_oneAtATime = true;
    canary.m_maxEndpoints = static_cast<std::uint32_t>(std::max(canary.m_exposed.size(), canary.m_asked.size())) + 1;
    advanceCanary(step);
}

} // namespace flamingo::detail
