#pragma once

#include "base/resultcode.h"
#include "control/command.h"
#include "control/controlprotocol.h"
#include "control/controlstate.h"

#include <cstddef>
#include <string>
#include <vector>

namespace flamingo {

// Limit on the departures that are recorded at the same time, more than the endpoints of the largest fleet. Beyond it,
// a departure of an endpoint that is not registered is refused, because it could not be kept.
constexpr std::size_t maxLeftEndpoints = 131072;

/**
 * Actions of the leader on a heartbeat or departure, taken before it acknowledges the message.
 *
 * After each command of a heartbeat the decision is made again, because messages that were handled meanwhile may have
 * changed the state.
 */
struct HeartbeatDecision {
    std::vector<CommandBody> m_commands; // commands that are needed, in this order
    ResultCode m_refusal = ResultCode::Ok; // if it is not Ok, the message is refused with this code
    bool m_renews = false; // the heartbeat renews a registered endpoint
    std::string m_explanation; // reason of the decision, for the log; empty for a plain renewal
};

/**
 * Decides on a heartbeat. Not thread-safe for one state.
 *
 * A heartbeat may come from another writer. One whose service no configuration names does not take the id or the
 * address of an endpoint of a configured service, whatever its incarnation, and gives way to the heartbeats of that
 * one. It is acknowledged all the same, since the configuration that names its service may be on its way.
 *
 * A heartbeat is late if its incarnation was replaced or has left, or if its address belongs to an endpoint with a
 * later incarnation. A late heartbeat is acknowledged and does not register its endpoint. Draining is final for an
 * incarnation, also if it is not registered, so that the order of the messages of one incarnation does not matter.
 */
HeartbeatDecision decideHeartbeat(const ControlState& state, const EndpointHeartbeat& heartbeat);

/**
 * Decides on a departure. Not thread-safe for one state.
 *
 * The departure is recorded for the incarnation that it names, also if that one is not registered, for example because
 * its registration has expired: a late heartbeat then does not register it. An earlier incarnation that is registered
 * is removed, a later one is not. A departure without an incarnation is of the registered one, or else of the one whose
 * registration expired last, or else of an endpoint that states none in its heartbeats either.
 */
HeartbeatDecision decideDeparture(const ControlState& state, const EndpointDeparture& departure);

/**
 * Decides how an endpoint that stopped renewing is removed. Thread-safe.
 *
 * One that was draining has left: it must not get new calls if its heartbeats return. Any other may register again; its
 * incarnation is recorded under a reserved id, for a departure that does not name it.
 */
std::vector<RemoveEndpoints::Target> decideExpiry(const EndpointRecord& endpoint);

} // namespace flamingo
