#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "endpoint/endpointcall.h"
#include "routing/endpointindex.h"
#include "routing/endpointstats.h"
#include "routing/routingstate.h"

namespace flamingo {

/** One call of an execution to an endpoint, as routing accounts for it. */
struct Attempt {
    EndpointIndex m_endpoint;
    EndpointId m_endpointId;
    Incarnation m_incarnation;
    std::uint64_t m_generation = 0; // of the endpoint's statistics
    MonotonicTime m_sentAt {};
    bool m_open = false; // sent and not yet ended
    bool m_probe = false;
    bool m_suspect = false; // its request has crashed an endpoint before
    bool m_paid = false; // with a token of the extra-load budget
};

/** Counts a call to the endpoint as sent. Precondition: the endpoint is in the routing table. */
Attempt beginAttempt(RoutingState& routing, EndpointIndex endpoint, bool suspect, MonotonicTime now);

/**
 * Ends an open attempt: updates the endpoint's statistics and the service's latency distribution.
 *
 * The reply is null for a cancelled call. A cancelled call that ran for at least the hedge delay enters
 * the distribution with the time it ran; leaving it out would shorten the hedge delay more and more.
 */
void endAttempt(RoutingState& routing, const ServiceName& service, Attempt& attempt, CallVerdict verdict,
    const EndpointReply* reply, MonotonicTime now);

/** Returns whether the endpoint is still known under the incarnation the call was sent to. */
bool isEndpointKnown(const RoutingState& routing, const Attempt& attempt);

/** Fills in the endpoint's address. Precondition: the endpoint is in the routing table. */
void addressCall(const RoutingState& routing, EndpointIndex endpoint, EndpointCall& call);

/** Returns what a reply says about the endpoint, before its body is looked at. */
CallVerdict verdictOf(const EndpointReply& reply);

/** Returns whether the endpoint provably did not run the request. */
bool provesNotRun(const EndpointReply& reply);

} // namespace flamingo
