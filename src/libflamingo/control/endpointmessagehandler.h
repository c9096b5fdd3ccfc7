#pragma once

#include "base/resultcode.h"
#include "base/time.h"
#include "control/heartbeatdecision.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

namespace flamingo {

class ControlService;

using EndpointMessage = std::variant<EndpointHeartbeat, EndpointDeparture>;

/**
 * Carries out the leader's decisions on the messages of endpoints.
 *
 * At most one command about an endpoint is in flight, and a message that needs another one waits for it. Each decision
 * is therefore made on a state that contains all earlier commands about the endpoint, in whatever order its messages
 * arrive.
 *
 * Thread safety: none; all calls on the loop of the service, which outlives the object.
 */
class EndpointMessageHandler {
public:
    // Limit on the messages that wait for a command about their endpoint.
    static constexpr std::size_t maxWaiting = 10000;
    // Commands of other endpoints with the same address may make a message need more commands than usual.
    static constexpr int maxCommandsPerMessage = 8;

    /** Called once with the outcome. The message is acknowledged if the code is Ok; otherwise the text says why not. */
    using OutcomeHandler = std::function<void(ResultCode code, const std::string& text)>;

    explicit EndpointMessageHandler(ControlService& service);
    EndpointMessageHandler(const EndpointMessageHandler&) = delete;
    EndpointMessageHandler& operator=(const EndpointMessageHandler&) = delete;

    /**
     * Handles a message; the outcome may be known before this function returns.
     *
     * The outcome is NotLeader or CommandOutcomeUnknown if this VM is not or no longer the leader, and Overloaded if
     * too many messages wait or too many departures are recorded.
     */
    void handle(EndpointMessage message, OutcomeHandler handler, MonotonicTime now);
    /** Resumes messages that waited for a command; to be called every 20 to 200 ms. */
    void tick(MonotonicTime now);

private:
    /** A message whose outcome is not known yet. */
    struct PendingMessage {
        EndpointMessage m_message;
        OutcomeHandler m_handler;
        int m_commands = 0; // number of its commands that were proposed
    };
    using PendingMessagePtr = std::shared_ptr<PendingMessage>;

    void advance(const PendingMessagePtr& pending);
    void propose(const PendingMessagePtr& pending, CommandBody body);
    std::optional<EndpointId> findBusyEndpoint(const EndpointId& sender, const HeartbeatDecision& decision) const;
    void wait(const PendingMessagePtr& pending, const EndpointId& busy);
    // Continues the messages that wait for a command about the endpoint, as far as none is in flight.
    void resume(const EndpointId& endpoint);
    void logDecision(const PendingMessage& pending, const HeartbeatDecision& decision) const;

    ControlService& m_service;
    // Messages that wait for a command, by the endpoint that the command is about, in order of arrival.
    std::unordered_map<EndpointId, std::deque<PendingMessagePtr>> m_waiting;
    std::size_t m_waitingCount = 0;
    MonotonicTime m_now; // time of the last event
};

} // namespace flamingo
