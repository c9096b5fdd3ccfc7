#pragma once

#include "control/command.h"
#include "control/controlprotocol.h"
#include "control/controlstate.h"

#include <vector>

namespace flamingo {

/** Actions of the leader on a heartbeat or departure, taken before it acknowledges the message. */
struct HeartbeatDecision {
    std::vector<CommandBody> m_commands; // commands to propose, in this order
    bool m_renews = false; // the heartbeat renews a registered endpoint
    const char* m_explanation = ""; // reason of the decision, for the log; empty for a plain renewal
};

/**
 * Decides on a heartbeat. Not thread-safe for one state.
 *
 * A heartbeat is late if its incarnation was replaced or has left, or if its address belongs to an endpoint with a
 * later incarnation. A late heartbeat is acknowledged and changes nothing. Draining is final for an incarnation, so
 * that the order of the messages of one incarnation does not matter.
 */
HeartbeatDecision decideHeartbeat(const ControlState& state, const EndpointHeartbeat& heartbeat);

/** Decides on a departure. A departure of an earlier incarnation changes nothing. Not thread-safe for one state. */
HeartbeatDecision decideDeparture(const ControlState& state, const EndpointDeparture& departure);

} // namespace flamingo
