#pragma once

#include "forward/forwardstate.h"

#include <string>
#include <vector>

namespace flamingo {

/**
 * Second level of fan-outs: entry VMs that merge a part of the shards for the others.
 *
 * A fan-out over many shards costs a small VM more processor time than its goal allows, and an endpoint accepts fewer
 * connections than there are VMs. So the shards of a large fan-out are cut into groups, each group is owned by a few
 * VMs, and only these connect to the endpoints of its shards. An entry VM asks one owner of each group.
 */

/** Returns the shards in groups of about the size given, always the same for the same set. Thread-safe. */
std::vector<std::vector<ServiceName>> mergeGroups(const std::vector<ServiceName>& shards, std::size_t groupShards);

/** Returns the name under which the owners of a group stand in ForwardState::m_mergers. Thread-safe. */
ServiceName mergeGroupName(std::size_t group);

/** Returns whether fan-outs of the route are merged in two levels by this state. */
bool usesMergers(const ForwardState& state, const Route& route);

/**
 * Returns whether this VM calls endpoints of the service itself, so that connections to them are worth keeping.
 *
 * With two levels these are the shards of its own groups and the services of other routes, but no service that no
 * route names yet: each VM would connect to each endpoint of a new set of shards before it is in use, more of them
 * than the endpoints accept.
 */
bool callsDirectly(const ForwardState& state, const ServiceName& service);

/** Works out the owners of all groups from the admitted VMs; costs little when these are as before. */
void updateMergers(ForwardState& state, MonotonicTime now);

} // namespace flamingo
