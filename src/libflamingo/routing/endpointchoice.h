#pragma once

#include "base/time.h"
#include "routing/endpointindex.h"
#include "routing/routingstate.h"

#include <optional>
#include <random>
#include <vector>

namespace flamingo {

using RandomEngine = std::mt19937_64;

/** Result of choosing a replica. */
struct EndpointChoice {
    std::optional<EndpointIndex> m_endpoint;
    // Without an endpoint: whether a replica is only busy, and when one that refused or is ejected
    // may be tried again.
    bool m_busy = false;
    std::optional<MonotonicTime> m_retryAt;
};

/** Whether a call may be the probe of an ejected endpoint. */
enum class ProbeUse {
    Never, // hedges, which must not wait for an ejected endpoint
    // Requests that are not idempotent: only if the endpoint refused connections, so that a failed probe
    // is not sent, or if nothing else has probed it for the longest ejection.
    Harmless,
    Allowed,
};

/** What the caller of chooseEndpoint() wants. */
struct ChoiceRequest {
    const std::vector<EndpointIndex>& m_replicas; // of the shard in the fixed snapshot and layout
    const std::vector<EndpointIndex>& m_excluded; // tried already
    ProbeUse m_probes = ProbeUse::Allowed;
};

/** Returns whether the endpoint can take a call now: not draining, ejected, refusing or at its bound. */
bool canTakeCall(RoutingState& routing, EndpointIndex endpoint, MonotonicTime now);

/**
 * Returns whether a further connection may be tried while a call on another one stays unanswered.
 *
 * That call may hang on a silent connection, so the bound by slots is left out and the share of
 * connections alone applies.
 */
bool canTryConnection(RoutingState& routing, EndpointIndex endpoint, MonotonicTime now);

/**
 * Chooses a replica for one call.
 *
 * Replicas in this daemon's data centre come first; others are used when the local ones are ejected,
 * refuse, have no free slot or are clearly slower. Of two random candidates the one with fewer calls in flight
 * per slot wins, then the one with the lower latency, then the one that reports less load. The last
 * replica of a shard is used even if it is ejected.
 */
EndpointChoice chooseEndpoint(
    RoutingState& routing, const ChoiceRequest& request, RandomEngine& random, MonotonicTime now);

} // namespace flamingo
