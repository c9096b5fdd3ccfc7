#include "query/querystep.h"
#include "routing/connectionshare.h"

#include <algorithm>

namespace flamingo::detail {

namespace {

// Ranks kept: the allowance grows by one with each decision against a quarantine.
constexpr std::size_t mostRanks = 6;

struct Ranked {
    std::uint64_t m_score = 0;
    EndpointIndex m_endpoint;
};

bool contains(const std::vector<EndpointId>& list, const EndpointId& id)
{
    return std::find(list.begin(), list.end(), id) != list.end();
}

std::vector<Ranked> rankedEndpoints(const QueryStep& step)
{
    const RoutingTable& table = step.m_context.m_routing.m_table;
    std::vector<Ranked> ranked;
    for (const auto& replicas : step.snapshot()->m_replicas) {
        for (const EndpointIndex index : replicas) {
            const EndpointRoute& route = table.m_endpoints[index.value()];
            if (!route.m_draining)
                ranked.push_back({ rendezvousScore(step.m_execution.m_fingerprint.value(), route.m_idHash), index });
        }
    }
    // Sorted by position first, since an endpoint with several shards appears more than once.
    std::sort(ranked.begin(), ranked.end(), [](const Ranked& a, const Ranked& b) {
        return a.m_score != b.m_score ? a.m_score > b.m_score : a.m_endpoint < b.m_endpoint;
    });
    const auto same = [](const Ranked& a, const Ranked& b) { return a.m_endpoint == b.m_endpoint; };
    ranked.erase(std::unique(ranked.begin(), ranked.end(), same), ranked.end());
    return ranked;
}

// Moves the best endpoint of another data centre to the second place, so that the loss of a data centre
// takes only one of the first two. All VMs with the same state get the same order.
void separateFirstTwo(const QueryStep& step, std::vector<Ranked>& ranked)
{
    if (ranked.empty())
        return;
    const auto& endpoints = step.m_context.m_routing.m_table.m_endpoints;
    const DataCentreName& first = endpoints[ranked.front().m_endpoint.value()].m_dataCentre;
    const auto other = std::find_if(ranked.begin() + 1, ranked.end(),
        [&](const Ranked& entry) { return endpoints[entry.m_endpoint.value()].m_dataCentre != first; });
    if (other != ranked.end())
        std::rotate(ranked.begin() + 1, other, other + 1);
}

// Whether the endpoint has been out of reach for so long that this request did not crash it just now.
bool isLongGone(const QueryStep& step, EndpointIndex endpoint)
{
    const EndpointStats& stats = step.m_context.m_routing.m_endpoints[endpoint.value()];
    return stats.m_ejected && step.m_now - stats.m_ejectedAt > step.m_context.m_settings.m_quarantineInForce;
}

std::optional<EndpointIndex> positionOf(const QueryStep& step, const EndpointId& id)
{
    const auto& positions = step.m_context.m_routing.m_table.m_positions;
    const auto position = positions.find(id);
    if (position == positions.end())
        return std::nullopt;
    return position->second;
}

// Returns a shard of the snapshot that the endpoint holds. Of several one that is not yet asked, so that
// the second attempt is no duplicate.
std::optional<ShardIndex> shardFor(const QueryStep& step, EndpointIndex endpoint)
{
    const QueryExecution& execution = step.m_execution;
    std::optional<ShardIndex> found;
    for (const ShardHolding& holding : step.m_context.m_routing.m_table.m_endpoints[endpoint.value()].m_holdings) {
        if (holding.m_version != execution.m_version || holding.m_layout != execution.m_layout
            || holding.m_shard.value() >= execution.m_shards.size())
            continue;
        if (!found || step.shard(*found).m_sent > step.shard(holding.m_shard).m_sent)
            found = holding.m_shard;
    }
    return found;
}

bool mayAsk(const QueryStep& step, const EndpointId& id, std::size_t rank)
{
    const CanaryStage& canary = step.m_execution.m_canary;
    if (contains(canary.m_asked, id))
        return false;
    return contains(canary.m_used, id) || (rank < canary.m_allowance && canary.m_used.size() < canary.m_allowance);
}

struct OpenCalls {
    std::uint32_t m_count = 0;
    MonotonicTime m_latest {};
};

OpenCalls openCalls(const QueryExecution& execution)
{
    OpenCalls open;
    for (const QueryAttempt& attempt : execution.m_attempts) {
        if (attempt.m_attempt.m_open) {
            ++open.m_count;
            open.m_latest = std::max(open.m_latest, attempt.m_attempt.m_sentAt);
        }
    }
    return open;
}

// Sends to the rank if it can take the call. Two suspects never share an endpoint, since its death would
// then count against both.
bool askRank(QueryStep& step, const EndpointId& id)
{
    const auto endpoint = positionOf(step, id);
    if (!endpoint || !canTakeCall(step.m_context.m_routing, *endpoint, step.m_now))
        return false;
    CanaryStage& canary = step.m_execution.m_canary;
    const bool suspect
        = canary.m_deaths > 0 || step.m_context.m_fingerprints.m_suspects.count(step.m_execution.m_fingerprint) > 0;
    if (suspect && step.m_context.m_routing.m_endpoints[endpoint->value()].m_suspectCalls > 0)
        return false;
    const auto shard = shardFor(step, *endpoint);
    if (!shard || !sendCall(step, *shard, *endpoint, SendPurpose::Canary, suspect))
        return false;
    stopAllWaiting(step);
    canary.m_asked.push_back(id);
    if (!contains(canary.m_used, id))
        canary.m_used.push_back(id);
    return true;
}

void awaitCapacity(QueryStep& step)
{
    QueryExecution& execution = step.m_execution;
    for (const EndpointId& id : execution.m_canary.m_ranks) {
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
    checkCanaryAt(step, step.m_now + step.m_context.m_settings.m_waitPoll);
}

bool isUsedUp(const QueryStep& step)
{
    const CanaryStage& canary = step.m_execution.m_canary;
    for (std::size_t rank = 0; rank < canary.m_ranks.size(); ++rank) {
        if (mayAsk(step, canary.m_ranks[rank], rank))
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
    const CanaryRestriction caution
        = canaryRestriction(step.m_context.m_fingerprints, execution.m_fingerprint, step.m_now);
    if (caution == CanaryRestriction::Refuse) {
        const ResultCode code = step.mayHaveRun() ? ResultCode::EndpointFailed : ResultCode::Quarantined;
        return finishQuery(
            step, code, "the request crashed two endpoints; whether it is quarantined is not decided yet");
    }
    std::vector<Ranked> ranked = rankedEndpoints(step);
    separateFirstTwo(step, ranked);
    canary.m_ranks.clear();
    canary.m_asked = canary.m_crashed;
    canary.m_checkAt.reset();
    bool passedOver = false;
    for (const Ranked& entry : ranked) {
        const bool unreachable = endpointShare(step.m_context.m_routing.m_table, entry.m_endpoint) == 0;
        if (unreachable || isLongGone(step, entry.m_endpoint))
            passedOver = passedOver || canary.m_ranks.size() < 2;
        else if (canary.m_ranks.size() < mostRanks)
            canary.m_ranks.push_back(step.m_context.m_routing.m_table.m_endpoints[entry.m_endpoint.value()].m_id);
    }
    // Other VMs may ask an endpoint that is passed over here, so each death waits for the decision.
    canary.m_alone = canary.m_alone || passedOver || caution == CanaryRestriction::OneAtATime;
    if (canary.m_alone && canary.m_used.empty())
        canary.m_allowance = 1;
    if (canary.m_ranks.empty())
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
        return checkCanaryAt(step, canary.m_notBefore);
    const OpenCalls open = openCalls(execution);
    const bool isHedge = open.m_count > 0;
    if (open.m_count > 1 || (isHedge && canary.m_alone))
        return;
    // While the first attempt runs, the second one waits for the hedge delay.
    if (isHedge && step.m_now < open.m_latest + step.hedgeAfter())
        return checkCanaryAt(step, open.m_latest + step.hedgeAfter());
    for (std::size_t rank = 0; rank < canary.m_ranks.size(); ++rank) {
        if (mayAsk(step, canary.m_ranks[rank], rank) && askRank(step, canary.m_ranks[rank]))
            return;
    }
    if (!isUsedUp(step))
        return awaitCapacity(step);
    if (isHedge)
        return;
    if (canary.m_deaths > 0) {
        execution.m_phase = QueryPhase::AwaitingDecision;
        return;
    }
    finishQuery(step, ResultCode::EndpointFailed, "the endpoints asked first could not answer the request");
}

void canarySucceeded(QueryStep& step)
{
    QueryExecution& execution = step.m_execution;
    stopAllWaiting(step);
    // The hedge times of the canary stage are past, so those of calls that go on are set again.
    for (std::uint32_t number = 1; number <= execution.m_attempts.size(); ++number) {
        const Attempt& attempt = execution.m_attempts[number - 1].m_attempt;
        if (attempt.m_open)
            checkHedgeAt(step, AttemptNumber(number), attempt.m_sentAt + step.hedgeAfter());
    }
    startFanOut(step);
}

void canaryFailed(QueryStep& step, const Attempt& attempt, const EndpointReply& reply)
{
    CanaryStage& canary = step.m_execution.m_canary;
    const auto forget = [&](std::vector<EndpointId>& list) {
        list.erase(std::remove(list.begin(), list.end(), attempt.m_endpointId), list.end());
    };
    if (provesNotRun(reply)) {
        // It did not run there, so the endpoint may be asked again and another one takes no risk.
        forget(canary.m_used);
        forget(canary.m_asked);
    } else if (reply.m_outcome == CallOutcome::Answered) {
        // It survived the request, so a further attempt is no more dangerous than this one was.
        forget(canary.m_used);
        canary.m_allowance = std::max(canary.m_allowance, 2U);
    }
    advanceCanary(step);
}

void takeDecision(QueryStep& step, const QuarantineDecided& event)
{
    QueryExecution& execution = step.m_execution;
    CanaryStage& canary = execution.m_canary;
    ++canary.m_decisions;
    if (event.m_quarantined)
        return finishQuery(step, ResultCode::EndpointFailed, "the request crashed two endpoints and is quarantined");
    if (canary.m_decisions < canary.m_deaths)
        return;
    canary.m_notBefore = MonotonicTime {};
    if (execution.m_phase == QueryPhase::Canary)
        return advanceCanary(step);
    if (execution.m_phase != QueryPhase::AwaitingDecision)
        return;
    // Not quarantined: one more endpoint may be asked, and no other beside it.
    execution.m_phase = QueryPhase::Canary;
    canary.m_alone = true;
    canary.m_allowance = static_cast<std::uint32_t>(std::max(canary.m_used.size(), canary.m_asked.size())) + 1;
    advanceCanary(step);
}

} // namespace flamingo::detail
