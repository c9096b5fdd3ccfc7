#pragma once

#include "base/time.h"
#include "routing/endpointindex.h"
#include "routing/routingstate.h"

#include <optional>
#include <random>
#include <vector>

namespace flamingo {

using RandomEngine = std::mt19937_64;

/** Result of chooseEndpoint(). */
struct EndpointChoice {
    std::optional<EndpointIndex> m_endpoint;
    // The following are for a choice without an endpoint.
    bool m_busy = false; // a replica is at its limit of calls in flight
    // When this VM may call a replica whose rate limit excludes a call now; unset if there is none.
    std::optional<MonotonicTime> m_rateLimitedUntil;
    std::optional<MonotonicTime> m_retryAt; // earliest time to retry a replica that refused or is ejected
};

/** Whether a call may be the probe of an ejected endpoint. */
enum class ProbeUse {
    Never, // for hedges, which must not wait for an ejected endpoint
    // For requests that are not idempotent: a probe is allowed only if the endpoint refused connections, so
    // that a failed probe sends nothing, or if no other call has probed it for the maximum ejection time.
    OnlyIfHarmless,
    Allowed,
};

/** Input of chooseEndpoint(). */
struct ChoiceRequest {
    const std::vector<EndpointIndex>& m_replicas; // of one shard in the snapshot and layout in use
    const std::vector<EndpointIndex>& m_excluded; // replicas that were already tried
    ProbeUse m_probes = ProbeUse::Allowed;
};

/** Returns whether this VM has a part left of the rate that the endpoint named; true if it named none. */
bool isWithinRateLimit(const RoutingState& routing, EndpointIndex endpoint, MonotonicTime now);

/** Records in the choice that the endpoint's rate limit excludes a call now. Precondition: it does. */
void passOverRateLimited(RoutingState& routing, EndpointIndex endpoint, EndpointChoice& choice, MonotonicTime now);

/** Returns whether the endpoint can take a call now: not draining, ejected, refusing or at its call or rate limit. */
bool canTakeCall(RoutingState& routing, EndpointIndex endpoint, MonotonicTime now);

/**
 * Returns whether a call may be sent on a further connection while a call on another one is unanswered.
 *
 * That call may hang on an unresponsive connection, so the limit by slots is not applied, only the share
 * of connections and the rate that the endpoint named.
 */
bool canTryConnection(RoutingState& routing, EndpointIndex endpoint, MonotonicTime now);

/**
 * Chooses a replica for one call.
 *
 * Replicas in this daemon's data centre are preferred; others are used when the local ones are ejected,
 * refuse, have no free slot or are clearly slower. Of two random candidates the one with fewer calls in flight
 * per slot is chosen, then the one with the lower latency, then the one that reports less load. An ejected
 * replica is used when the shard has no other.
 */
EndpointChoice chooseEndpoint(
    RoutingState& routing, const ChoiceRequest& request, RandomEngine& random, MonotonicTime now);

} // namespace flamingo
