#include "forward/handover.h"

#include "forward/forwardfinish.h"
#include "forward/relayplan.h"

#include <algorithm>

namespace flamingo {

namespace {

ForwardPart makeRelay(const AttemptAllowance& attempts)
{
    ForwardPart part;
    part.m_service = relayServiceName();
    part.m_relay = true;
    part.m_attempts = attempts;
    return part;
}

HandOver planSingle(const ForwardExecution& execution)
{
    HandOver plan;
    const ForwardPart& part = execution.m_parts.front();
    if (attemptsLeft(part.m_attempts) > 0)
        plan.m_relay = makeRelay(part.m_attempts);
    else
        plan.m_exhausted.push_back(0);
    return plan;
}

} // namespace

HandOver planHandOver(const ForwardExecution& execution)
{
    if (execution.m_request.m_route->m_shards.empty())
        return planSingle(execution);
    HandOver plan;
    AttemptAllowance fewest;
    std::vector<ServiceName> shards;
    for (std::size_t index = 0; index < execution.m_parts.size(); ++index) {
        const ForwardPart& part = execution.m_parts[index];
        if (part.m_state != ForwardPart::State::Open || part.callsVm())
            continue;
        if (attemptsLeft(part.m_attempts) == 0) {
            plan.m_exhausted.push_back(index);
            continue;
        }
        if (shards.empty() || attemptsLeft(part.m_attempts) < attemptsLeft(fewest))
            fewest = part.m_attempts;
        plan.m_handedOver.push_back(index);
        shards.push_back(part.m_service);
    }
    if (shards.empty())
        return plan;
    plan.m_relay = makeRelay(fewest);
    plan.m_relay->m_group = std::move(shards);
    return plan;
}

ForwardPart relayPart(const Route& route)
{
    ForwardPart part = makeRelay({ std::max(1U, route.m_maxAttempts), 0 });
    part.m_group = route.m_shards;
    return part;
}

Route relayRoute(const ForwardExecution& execution, const ForwardPart& relay, std::uint32_t attempts)
{
    Route route = *execution.m_request.m_route;
    route.m_maxAttempts = attempts;
    route.m_shards = relay.m_group;
    if (relay.m_group.empty())
        return route;
    const std::uint32_t min = minAnsweredShards(execution);
    const std::uint32_t needed = min - std::min(min, execution.m_answeredShards);
    route.m_minAnsweredShare = std::min(1.0, double(needed) / double(relay.m_group.size()));
    return route;
}

} // namespace flamingo
