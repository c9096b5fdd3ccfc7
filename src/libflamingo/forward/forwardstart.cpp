#include "forward/forwardstart.h"

#include "forward/crashsuspects.h"
#include "forward/handover.h"
#include "forward/mergeplan.h"

#include <algorithm>
#include <random>
#include <utility>

namespace flamingo {

namespace {

// Returns a random target, in proportion to the weights.
ServiceName chooseTarget(const Route& route, RandomEngine& random)
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

// A hedge or a retry of a request that has crashed an endpoint could crash another one.
void limitSuspect(const ForwardState& state, ForwardExecution& execution)
{
    if (!execution.m_trial && !isSuspect(state, execution.m_fingerprint))
        return;
    for (ForwardPart& part : execution.m_parts)
        part.m_attempts.m_allowed = 1;
}

void addPart(ForwardExecution& execution, const ServiceName& service)
{
    execution.m_parts.emplace_back();
    execution.m_parts.back().m_service = service;
    execution.m_parts.back().m_attempts.m_allowed = std::max(1U, execution.m_request.m_route->m_maxAttempts);
}

void addParts(ForwardState& state, ForwardExecution& execution)
{
    const Route& route = *execution.m_request.m_route;
    if (mayRelay(state, execution.m_request)) {
        execution.m_parts.push_back(relayPart(route));
        return;
    }
    if (route.m_shards.empty())
        return addPart(execution, chooseTarget(route, state.m_random));
    if (execution.m_request.m_partialAnswerAfter || !usesMergers(state, route)) {
        for (const ServiceName& shard : route.m_shards)
            addPart(execution, shard);
        return;
    }
    std::vector<std::vector<ServiceName>> groups = mergeGroups(route.m_shards, state.m_settings.m_shardsPerGroup);
    for (std::size_t group = 0; group < groups.size(); ++group) {
        addPart(execution, mergeGroupName(group));
        execution.m_parts.back().m_group = std::move(groups[group]);
    }
}

} // namespace

void setDeadlines(const ForwardState& state, ForwardExecution& execution)
{
    const ForwardSettings& settings = state.m_settings;
    const ForwardRequest& request = execution.m_request;
    const Route& route = *request.m_route;
    Milliseconds allowed = route.m_timeout;
    if (request.m_timeLeft.count() > 0)
        allowed = std::min(allowed, request.m_timeLeft);
    // Limits the reserve to a quarter, so that a short timeout is not used up by it.
    allowed -= std::min(settings.m_deadlineReserve, allowed / 4);
    execution.m_deadline = request.m_receivedAt + allowed;
    if (state.m_answerAllBy)
        execution.m_deadline = std::min(execution.m_deadline, *state.m_answerAllBy);
    if (request.m_goalLeft && route.m_goal.count() > 0) {
        execution.m_goalAt = request.m_receivedAt + *request.m_goalLeft;
        return;
    }
    if (request.m_partialAnswerAfter) {
        execution.m_goalAt = request.m_receivedAt + *request.m_partialAnswerAfter;
        return;
    }
    if (route.m_goal.count() == 0)
        return;
    const Microseconds reserve = state.m_goalLag + settings.m_answerReserve
        + (request.m_newConnection ? settings.m_connectReserve : Milliseconds(0));
    execution.m_goalAt = request.m_receivedAt + std::max<Microseconds>(route.m_goal - reserve, route.m_goal / 2);
}

void makeParts(ForwardState& state, ForwardExecution& execution)
{
    addParts(state, execution);
    limitSuspect(state, execution);
}

bool mayRelay(const ForwardState& state, const ForwardRequest& request)
{
    const bool own = !request.m_relayed && !request.m_partialAnswerAfter;
    return state.m_reachability.m_cutOff && own && !usesMergers(state, *request.m_route)
        && !state.m_relays.m_table.m_positions.empty();
}

} // namespace flamingo
