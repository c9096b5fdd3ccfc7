#include "control/endpointmessagehandler.h"

#include "base/log.h"
#include "control/controlservice.h"
#include "control/endpointcommands.h"

#include <algorithm>
#include <utility>

namespace flamingo {

namespace {

const EndpointId& endpointOf(const EndpointMessage& message)
{
    if (const auto* heartbeat = std::get_if<EndpointHeartbeat>(&message))
        return heartbeat->m_endpoint.m_id;
    return std::get<EndpointDeparture>(message).m_endpoint;
}

HeartbeatDecision decide(const ControlState& state, const EndpointMessage& message)
{
    if (const auto* heartbeat = std::get_if<EndpointHeartbeat>(&message))
        return decideHeartbeat(state, *heartbeat);
    return decideDeparture(state, std::get<EndpointDeparture>(message));
}

std::string describe(std::optional<Incarnation> incarnation)
{
    return incarnation ? std::to_string(incarnation->value()) : "none";
}

} // namespace

EndpointMessageHandler::EndpointMessageHandler(ControlService& service)
    : m_service(service)
{
}

void EndpointMessageHandler::handle(EndpointMessage message, OutcomeHandler handler, MonotonicTime now)
{
    m_now = now;
    m_service.refreshRole(now);
    const auto pending = std::make_shared<PendingMessage>(PendingMessage { std::move(message), std::move(handler) });
    const EndpointId& endpoint = endpointOf(pending->m_message);
    if (m_waiting.count(endpoint) == 0) {
        advance(pending);
        return;
    }
    wait(pending, endpoint);
    resume(endpoint);
}

void EndpointMessageHandler::tick(MonotonicTime now)
{
    m_now = now;
    std::vector<EndpointId> endpoints;
    for (const auto& [endpoint, messages] : m_waiting)
        endpoints.push_back(endpoint);
    for (const EndpointId& endpoint : endpoints)
        resume(endpoint);
}

void EndpointMessageHandler::resume(const EndpointId& endpoint)
{
    auto waiting = m_waiting.find(endpoint);
    while (waiting != m_waiting.end() && !m_service.hasEndpointCommandInFlight(endpoint)) {
        const PendingMessagePtr pending = waiting->second.front();
        waiting->second.pop_front();
        --m_waitingCount;
        if (waiting->second.empty())
            m_waiting.erase(waiting);
        advance(pending);
        waiting = m_waiting.find(endpoint);
    }
}

void EndpointMessageHandler::advance(const PendingMessagePtr& pending)
{
    if (!m_service.isReady()) {
        pending->m_handler(ResultCode::NotLeader, "this VM is not the control leader");
        return;
    }
    const EndpointId& endpoint = endpointOf(pending->m_message);
    const HeartbeatDecision decision = decide(m_service.state(), pending->m_message);
    if (const auto busy = findBusyEndpoint(endpoint, decision)) {
        wait(pending, *busy);
        return;
    }
    const bool isFirst = pending->m_commands == 0;
    if (decision.m_renews && isFirst)
        m_service.recordEndpointRenewal(endpoint, m_now);
    if (isFirst || !decision.m_commands.empty())
        logDecision(*pending, decision);
    if (decision.m_refusal != ResultCode::Ok || decision.m_commands.empty())
        pending->m_handler(decision.m_refusal, decision.m_explanation);
    else
        propose(pending, decision.m_commands.front());
}

// The next command may be about another endpoint, with the address of the one that sent the message.
std::optional<EndpointId> EndpointMessageHandler::findBusyEndpoint(
    const EndpointId& sender, const HeartbeatDecision& decision) const
{
    std::vector<EndpointId> endpoints { sender };
    if (!decision.m_commands.empty()) {
        const std::vector<EndpointId> targets = endpointsOf(decision.m_commands.front());
        endpoints.insert(endpoints.end(), targets.begin(), targets.end());
    }
    const auto busy = std::find_if(endpoints.begin(), endpoints.end(),
        [this](const EndpointId& endpoint) { return m_service.hasEndpointCommandInFlight(endpoint); });
    return busy != endpoints.end() ? std::optional(*busy) : std::nullopt;
}

void EndpointMessageHandler::propose(const PendingMessagePtr& pending, CommandBody body)
{
    if (++pending->m_commands > maxCommandsPerMessage) {
        pending->m_handler(ResultCode::Overloaded, "the records of the endpoint change too often");
        return;
    }
    const std::vector<EndpointId> endpoints = endpointsOf(body);
    Command command;
    command.m_body = std::move(body);
    m_service.submit(std::move(command), [this, pending, endpoints](const CommandResult& result) {
        // A departure needs a single command. If it names no incarnation, a second decision could be about a later one.
        if (result.m_code != ResultCode::Ok || std::holds_alternative<EndpointDeparture>(pending->m_message))
            pending->m_handler(result.m_code, result.m_text);
        else
            advance(pending);
        for (const EndpointId& endpoint : endpoints)
            resume(endpoint);
    });
}

void EndpointMessageHandler::wait(const PendingMessagePtr& pending, const EndpointId& busy)
{
    if (m_waitingCount >= maxWaiting) {
        pending->m_handler(ResultCode::Overloaded, "too many messages of endpoints are waiting");
        return;
    }
    ++m_waitingCount;
    m_waiting[busy].push_back(pending);
}

// A plain renewal writes no line, because there is one for each endpoint in each heartbeat interval.
void EndpointMessageHandler::logDecision(const PendingMessage& pending, const HeartbeatDecision& decision) const
{
    if (decision.m_explanation.empty())
        return;
    const ControlState& state = m_service.state();
    const EndpointId& endpoint = endpointOf(pending.m_message);
    const auto* heartbeat = std::get_if<EndpointHeartbeat>(&pending.m_message);
    const auto registered = state.m_published.m_endpoints.find(endpoint);
    const auto left = state.m_leftEndpoints.find(endpoint);
    const auto incarnation = heartbeat ? std::optional(heartbeat->m_endpoint.m_incarnation)
                                       : std::get<EndpointDeparture>(pending.m_message).m_incarnation;
    FLAMINGO_LOG(Info, "heartbeat handled", { "endpoint", endpoint.value() },
        { "said",
            !heartbeat                             ? "leaving"
                : heartbeat->m_endpoint.m_draining ? "draining"
                                                   : "ready" },
        { "incarnation", describe(incarnation) }, { "sequence", heartbeat ? heartbeat->m_sequence : 0 },
        { "registered",
            describe(registered != state.m_published.m_endpoints.end() ? std::optional(registered->second.m_incarnation)
                                                                       : std::nullopt) },
        { "left",
            describe(left != state.m_leftEndpoints.end() ? std::optional(left->second.m_incarnation) : std::nullopt) },
        { "why", decision.m_explanation }, { "commands", decision.m_commands.size() },
        { "code", static_cast<int>(decision.m_refusal) }, { "revision", state.m_published.m_revision.value() });
}

} // namespace flamingo
