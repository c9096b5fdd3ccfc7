#include "control/endpointmessagehandler.h"

#include "base/log.h"
#include "control/controlservice.h"

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

void EndpointMessageHandler::handle(const EndpointMessage& message, OutcomeHandler handler, MonotonicTime now)
{
    const HeartbeatDecision decision = decide(m_service.state(), message);
    if (decision.m_renews)
        m_service.recordEndpointRenewal(endpointOf(message), now);
    logDecision(message, decision);
    if (decision.m_refusal != ResultCode::Ok) {
        handler(decision.m_refusal, decision.m_explanation);
        return;
    }
    proposeNext(std::make_shared<PendingMessage>(PendingMessage { decision.m_commands, 0, std::move(handler) }));
}

void EndpointMessageHandler::proposeNext(const std::shared_ptr<PendingMessage>& pending)
{
    if (pending->m_next == pending->m_commands.size()) {
        pending->m_handler(ResultCode::Ok, {});
        return;
    }
    Command command;
    command.m_body = std::move(pending->m_commands[pending->m_next++]);
    m_service.submit(std::move(command), [this, pending](const CommandResult& result) {
        if (result.m_code == ResultCode::Ok)
            proposeNext(pending);
        else
            pending->m_handler(result.m_code, result.m_text);
    });
}

// A plain renewal writes no line, because there is one for each endpoint in each heartbeat interval.
void EndpointMessageHandler::logDecision(const EndpointMessage& message, const HeartbeatDecision& decision) const
{
    if (*decision.m_explanation == '\0')
        return;
    const ControlState& state = m_service.state();
    const EndpointId& endpoint = endpointOf(message);
    const auto* heartbeat = std::get_if<EndpointHeartbeat>(&message);
    const auto registered = state.m_published.m_endpoints.find(endpoint);
    const auto left = state.m_leftEndpoints.find(endpoint);
    const auto incarnation = heartbeat ? std::optional(heartbeat->m_endpoint.m_incarnation)
                                       : std::get<EndpointDeparture>(message).m_incarnation;
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
