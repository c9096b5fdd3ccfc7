#pragma once

#include "base/ids.h"
#include "control/command.h"
#include "control/controlstate.h"

#include <optional>
#include <vector>

namespace flamingo {

/** Returns the endpoints that the command registers, drains or removes by name. Thread-safe. */
std::vector<EndpointId> endpointsOf(const CommandBody& body);

/** Returns the registered endpoint, or null. Not thread-safe for one state. */
const EndpointRecord* findEndpoint(const ControlState& state, const EndpointId& endpoint);

// An entry VM passes on commands for endpoints and operators. These functions keep what endpoints said of their
// shutdown, which a delayed registration must not undo. Not thread-safe for one state.

/** Returns the departure to propose in place of a drain whose incarnation is not registered. */
std::optional<RemoveEndpoints> departureInPlaceOf(const ControlState& state, const Command& command);
/** Returns the departures to propose before a command that replaces or drops registrations of draining endpoints. */
std::optional<RemoveEndpoints> departuresBefore(const ControlState& state, const Command& command);

} // namespace flamingo
