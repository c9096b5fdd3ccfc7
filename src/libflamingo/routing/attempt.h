#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "endpoint/endpointcall.h"
#include "routing/endpointindex.h"
#include "routing/endpointstats.h"
#include "routing/routingstate.h"

namespace flamingo {

/** One call of an execution to an endpoint, with the data needed to update the statistics. */
struct Attempt {
    EndpointIndex m_endpoint;
    EndpointId m_endpointId;
    Incarnation m_incarnation;
    std::uint64_t m_generation = 0; // EndpointStats::m_generation when the call was sent
    MonotonicTime m_sentAt {};
    bool m_open = false; // sent and not ended yet
    bool m_probe = false; // the call is the probe of an ejected endpoint
    bool m_suspect = false; // its request has crashed an endpoint before
    bool m_tokenSpent = false; // the call took a token of the extra-load budget
};

/** Counts a call to the endpoint as sent. Precondition: the endpoint is in the routing table. */
Attempt beginAttempt(RoutingState& routing, EndpointIndex endpoint, bool suspect, MonotonicTime now);

/**
 * Ends an open attempt: updates the endpoint's statistics and the service's latency distribution.
 *
 * The reply is null for a cancelled call. A cancelled call that ran for at least the hedge delay is added
 * to the distribution with the time it ran: without these samples the hedge delay would keep shrinking.
 */
void endAttempt(RoutingState& routing, const ServiceName& service, Attempt& attempt, CallVerdict verdict,
    const EndpointReply* reply, MonotonicTime now);

/** Returns whether the endpoint is still known with the incarnation that the call was sent to. */
bool isEndpointKnown(const RoutingState& routing, const Attempt& attempt);

/** Sets the id, address and port of the endpoint in the call. Precondition: the endpoint is in the routing table. */
void setCallAddress(const RoutingState& routing, EndpointIndex endpoint, EndpointCall& call);

/** Classifies a reply by its outcome and status alone; the body is not checked. */
CallVerdict verdictOf(const EndpointReply& reply);

/** Returns whether the reply proves that the endpoint did not run the request. */
bool provesNotRun(const EndpointReply& reply);

} // namespace flamingo
