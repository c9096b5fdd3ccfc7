#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "request/callerrequest.h"
#include "request/requesteffect.h"
#include "request/requestevent.h"
#include "routing/attempt.h"
#include "routing/endpointchoice.h"
#include "routing/fingerprintmemory.h"
#include "routing/routingstate.h"

#include <string>
#include <vector>

namespace flamingo {

/** What a step may use of the event loop. All references outlive the call. */
struct RequestContext {
    RoutingState& m_routing;
    FingerprintMemory& m_fingerprints;
    RandomEngine& m_random;
    // Whether this VM holds a valid lease now. Without one nothing is sent.
    bool m_leaseValid = true;
};

enum class RequestPhase {
    Idle,
    Claiming,
    Sending, // chooses an endpoint, or waits for a free one or for the answer
    Settling, // succeeded; waits until control has recorded the answer
    Finished,
};

/** One call of the execution, by attempt number. */
struct RequestAttempt {
    Attempt m_attempt;
    EndpointIndex m_endpoint;
};

/** One request of a declared kind from its arrival to its answer. A plain value; change it through stepRequest(). */
struct RequestExecution {
    ExecutionId m_id; // unique at this daemon
    CallerRequest m_request;
    RequestPhase m_phase = RequestPhase::Idle;
    bool m_idempotent = false;
    bool m_claimed = false; // holds the right to send once
    Fingerprint m_fingerprint;
    MonotonicTime m_deadline {};
    SnapshotVersion m_version;
    LayoutId m_layout;
    std::vector<RequestAttempt> m_attempts; // attempt number n is at n - 1
    std::vector<EndpointIndex> m_tried; // refused or failed
    bool m_refusedByEndpoint = false;
    bool m_mayHaveRun = false; // some endpoint may have started it
    Milliseconds m_retryAfter { 0 };
    std::string m_answer; // of the endpoint, while it is being recorded
};

/** Returns an execution that awaits RequestStarted. */
RequestExecution makeRequestExecution(ExecutionId id, CallerRequest request);

/**
 * Takes one event and returns what to do, in order.
 *
 * A request that is not idempotent is sent at most once: after a call of which a byte may have left,
 * only an endpoint's own word that it did not run leads to another call. Time must not go back.
 */
RequestEffects stepRequest(RequestExecution& execution, RequestEvent event, RequestContext& context, MonotonicTime now);

} // namespace flamingo
