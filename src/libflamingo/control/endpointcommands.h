#pragma once

#include "base/ids.h"
#include "control/command.h"
#include "control/controlstate.h"

#include <vector>

namespace flamingo {

/** Returns the endpoints that the command registers, drains or removes by name. Thread-safe. */
std::vector<EndpointId> endpointsOf(const CommandBody& body);

/**
 * Returns the commands that carry out a command of an entry VM and keep what endpoints said of their shutdown. The
 * result of the last one is that of the command. Not thread-safe for one state.
 *
 * A drain of an incarnation that is not registered is recorded as its departure. Draining endpoints whose registration
 * the command replaces or drops are recorded as having left, so that a delayed registration does not make them ready.
 */
std::vector<CommandBody> keepingDepartures(const ControlState& state, const Command& command);

} // namespace flamingo
