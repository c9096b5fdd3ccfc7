#pragma once

#include "forward/forwardstate.h"

#include <cstdint>
#include <string>
#include <vector>

namespace flamingo {

/**
 * Two-level fan-outs: entry VMs that merge a group of shards on behalf of other entry VMs ("merging VMs").
 *
 * A fan-out over many shards needs more processor time on a small VM than its goal allows, and an endpoint accepts
 * fewer connections than there are VMs. So the shards of a large fan-out are divided into groups, each group is owned
 * by a few VMs, and only these connect to the endpoints of its shards. An entry VM calls one owner of each group.
 */

/**
 * Divides the shards into groups of nearly equal size, with at most shardsPerGroup shards each. Thread-safe.
 *
 * The result does not depend on the order of the shards.
 */
std::vector<std::vector<ServiceName>> mergeGroups(const std::vector<ServiceName>& shards, std::size_t shardsPerGroup);

/** Returns the service name of a group's owners in ForwardState::m_mergers. Thread-safe. */
ServiceName mergeGroupName(std::size_t group);

/** How many connections this VM holds to one endpoint. */
struct ConnectionPlan {
    std::uint32_t m_max = 0;
    std::uint32_t m_preconnected = 0; // opened in advance of the first call
};

/**
 * Returns the plan for the endpoint.
 *
 * The VMs that merge a shard share the connections that its endpoints accept. Another VM, which calls the shard only
 * for routes to this service alone, opens a single connection when it has a call: if all VMs kept connections, they
 * would exceed the endpoint's limit, and it would reset those of the merging VMs.
 */
ConnectionPlan connectionPlan(ForwardState& state, EndpointIndex endpoint);

/** Returns whether fan-outs of the route are merged in two levels. */
bool usesMergers(const ForwardState& state, const Route& route);

/**
 * Returns whether this VM calls endpoints of the service itself and should keep connections to them open.
 *
 * With two levels this holds for the shards of its own groups and for the services of routes with a single level. It
 * does not hold for services that no route uses yet: otherwise every VM would connect to each endpoint of a new set of
 * shards before the set is in use, which is more connections than the endpoints accept.
 */
bool callsDirectly(const ForwardState& state, const ServiceName& service);

/** Recomputes the owners of all groups, and the VMs to relay requests to, if the admitted VMs or the routes have
 * changed. */
void updateMergers(ForwardState& state, MonotonicTime now);

} // namespace flamingo
