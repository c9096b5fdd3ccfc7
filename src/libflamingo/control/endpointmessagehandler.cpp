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
    advance(std::make_shared<PendingMessage>(PendingMessage { std::move(message), std::move(handler) }));
}

void EndpointMessageHandler::tick(MonotonicTime now)
{
    m_now = now;
    resumeWaiting();
}

void EndpointMessageHandler::resumeWaiting()
{
    const std::vector<PendingMessagePtr> waiting = std::exchange(m_waiting, {});
    for (const PendingMessagePtr& pending : waiting)
        advance(pending);
}

void EndpointMessageHandler::advance(const PendingMessagePtr& pending)
{
    if (!m_service.isReady()) {
        pending->m_handler(ResultCode::NotLeader, "this VM is not the control leader");
        return;
    }
    const EndpointId& endpoint = endpointOf(pending->m_message);
    const HeartbeatDecision decision = decide(m_service.state(), pending->m_message);
    if (m_service.hasEndpointCommandInFlight(endpoint) || mustWait(decision)) {
        wait(pending);
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

// A command may be about another endpoint, with the address of the one that sent the message.
bool EndpointMessageHandler::mustWait(const HeartbeatDecision& decision) const
{
    if (decision.m_commands.empty())
        return false;
    const std::vector<EndpointId> endpoints = endpointsOf(decision.m_commands.front());
    return std::any_of(endpoints.begin(), endpoints.end(),
        [this](const EndpointId& endpoint) { return m_service.hasEndpointCommandInFlight(endpoint); });
}

void EndpointMessageHandler::propose(const PendingMessagePtr& pending, CommandBody body)
{
    if (++pending->m_commands > maxCommandsPerMessage) {
        pending->m_handler(ResultCode::Overloaded, "the records of the endpoint change too often");
        return;
    }
    Command command;
    command.m_body = std::move(body);
    m_service.submit(std::move(command), [this, pending](const CommandResult& result) {
        // A departure needs a single command. If it names no incarnation, a second decision could be about a later one.
        if (result.m_code != ResultCode::Ok || std::holds_alternative<EndpointDeparture>(pending->m_message))
            pending->m_handler(result.m_code, result.m_text);
        else
            advance(pending);
        resumeWaiting();
    });
}

void EndpointMessageHandler::wait(const PendingMessagePtr& pending)
{
    if (m_waiting.size() < maxWaiting)
        m_waiting.push_back(pending);
    else
        pending->m_handler(ResultCode::Overloaded, "too many messages of endpoints are waiting");
}

// A plain renewal writes no line, because there is one for each endpoint in each heartbeat interval.
void EndpointMessageHandler::logDecision(const PendingMessage& pending, const HeartbeatDecision& decision) const
{
    if (*decision.m_explanation == '\0')
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
