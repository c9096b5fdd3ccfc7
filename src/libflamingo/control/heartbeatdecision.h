#pragma once

#include "control/command.h"
#include "control/controlprotocol.h"
#include "control/controlstate.h"

#include <vector>

namespace flamingo {

/** What the leader does about a heartbeat or departure before it acknowledges it. */
struct HeartbeatDecision {
    std::vector<CommandBody> m_commands; // in this order
    bool m_renews = false; // the endpoint is known and alive
    const char* m_why = ""; // for the log
};

/**
 * Decides about a heartbeat. Not thread-safe for one state.
 *
 * A heartbeat of an incarnation that was replaced, has left, or whose address belongs to a later start is late: it is
 * acknowledged and changes nothing. Draining is final for an incarnation, so that messages of one incarnation need
 * not be put in order.
 */
HeartbeatDecision decideHeartbeat(const ControlState& state, const EndpointHeartbeat& heartbeat);

/** Decides about a departure; one of an earlier incarnation changes nothing. Not thread-safe for one state. */
HeartbeatDecision decideDeparture(const ControlState& state, const EndpointDeparture& departure);

} // namespace flamingo
