#pragma once

#include "base/resultcode.h"
#include "base/time.h"
#include "control/heartbeatdecision.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace flamingo {

class ControlService;

using EndpointMessage = std::variant<EndpointHeartbeat, EndpointDeparture>;

/**
 * Carries out the leader's decisions on the messages of endpoints.
 *
 * Thread safety: none; all calls on the loop of the service, which outlives the object.
 */
class EndpointMessageHandler {
public:
    /** Called once with the outcome. The message is acknowledged if the code is Ok; otherwise the text says why not. */
    using OutcomeHandler = std::function<void(ResultCode code, const std::string& text)>;

    explicit EndpointMessageHandler(ControlService& service);
    EndpointMessageHandler(const EndpointMessageHandler&) = delete;
    EndpointMessageHandler& operator=(const EndpointMessageHandler&) = delete;

    /**
     * Handles a message; the outcome may be known before this function returns.
     *
     * The outcome is NotLeader or CommandOutcomeUnknown if this VM is not or no longer the leader, and Overloaded if
     * too many departures are recorded.
     */
    void handle(const EndpointMessage& message, OutcomeHandler handler, MonotonicTime now);

private:
    /** A message whose commands are not all applied yet. */
    struct PendingMessage {
        std::vector<CommandBody> m_commands;
        std::size_t m_next = 0; // position of the next command to propose
        OutcomeHandler m_handler;
    };

    void proposeNext(const std::shared_ptr<PendingMessage>& pending);
    void logDecision(const EndpointMessage& message, const HeartbeatDecision& decision) const;

    ControlService& m_service;
};

} // namespace flamingo
