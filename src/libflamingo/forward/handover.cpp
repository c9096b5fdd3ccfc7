#include "forward/handover.h"

#include "forward/forwardfinish.h"
#include "forward/forwardstart.h"
#include "forward/relayplan.h"
#include "forward/relaywire.h"

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

bool mayHaveRun(const ForwardExecution& execution)
{
    return std::any_of(execution.m_parts.begin(), execution.m_parts.end(),
        [](const ForwardPart& part) { return part.m_possibleRuns > 0; });
}

bool isRelayed(const ForwardExecution& execution)
{
    return std::any_of(
        execution.m_parts.begin(), execution.m_parts.end(), [](const ForwardPart& part) { return part.m_relay; });
}

bool mustHandOver(const ForwardState& state, const ForwardExecution& execution)
{
    if (!state.m_reachability.m_cutOff || isRelayed(execution))
        return false;
    const ForwardRequest& request = execution.m_request;
    if (!request.m_relayed && !mayRelay(state, request))
        return false;
    const bool idempotent = request.m_route->m_idempotence == Idempotence::Idempotent;
    if (!idempotent && execution.m_unsentCallsCancelled && mayHaveRun(execution))
        return false;
    return std::any_of(execution.m_parts.begin(), execution.m_parts.end(),
        [](const ForwardPart& part) { return part.m_state == ForwardPart::State::Open && !part.callsVm(); });
}

std::vector<AttemptNumber> openEndpointCalls(const ForwardExecution& execution)
{
    std::vector<AttemptNumber> open;
    for (std::size_t number = 0; number < execution.m_calls.size(); ++number) {
        const ForwardCall& call = execution.m_calls[number];
        if (call.m_attempt.m_open && !execution.m_parts[call.m_part].callsVm())
            open.emplace_back(static_cast<std::uint32_t>(number));
    }
    return open;
}

std::optional<ForwardAnswer> readRelayedAnswer(EndpointReply& reply)
{
    auto answer = decodeRelayAnswer(reply.m_body);
    const bool unread = answer && answer->m_kind == ForwardAnswer::Kind::Error
        && resultClass(answer->m_code) == ResultClass::BadInput;
    if (!unread)
        return answer;
    reply.m_notRun = true;
    return std::nullopt;
}

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
