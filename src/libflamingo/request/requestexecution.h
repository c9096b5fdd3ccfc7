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

#include <cstdint>
#include <optional>
#include <vector>

namespace flamingo {

/** Limits and timing of request executions. */
struct RequestSettings {
    Milliseconds m_maxDeadline { 60000 };
    // Time reserved for the reply to travel back: a fraction of the deadline, up to m_maxReplyMargin. The deadline
    // of a call to an endpoint is earlier by this margin.
    double m_replyMarginFraction = 0.05;
    Milliseconds m_maxReplyMargin { 2 };
    std::uint32_t m_maxAttempts = 8;
    std::uint32_t m_maxCallsInFlight = 2; // concurrent calls of an idempotent request
    // Endpoints that a request may crash before the quarantine decision is known.
    std::uint32_t m_maxEndpointsAtRisk = 2;
    Milliseconds m_retryBackoff { 5 };
    Milliseconds m_maxRetryBackoff { 200 };
    Milliseconds m_waitPollInterval { 20 }; // between tries while no endpoint or token is available
    // Longest wait for the quarantine decision before the request is sent to another endpoint.
    Milliseconds m_decisionTimeout { 200 };
    std::size_t m_maxRecordedAnswer = 65536; // bytes
};

/** State of the event loop that stepRequest() uses. The references must outlive the call. */
struct RequestContext {
    RoutingState& m_routing;
    FingerprintMemory& m_fingerprints;
    RandomEngine& m_random;
    const RequestSettings& m_settings;
    VmId m_vm;
    Incarnation m_vmIncarnation;
    LogTime m_logTime; // time agreed with the control VMs, or else the wall clock
    bool m_leaseValid = true;
};

/** Phase of a request execution. */
enum class RequestPhase {
    Idle, // before RequestStarted
    Claiming, // waiting for the result of OpenClaim
    Sending, // choosing an endpoint, or waiting for its answer
    Finished,
};

/** Execution of one request of a declared kind, from admission to answer. Modified only by stepRequest(). */
struct RequestExecution {
    ExecutionId m_id; // unique at this daemon among queries and requests
    CallerRequest m_request;

    RequestPhase m_phase = RequestPhase::Idle;
    bool m_idempotent = false;
    Fingerprint m_fingerprint;
    MonotonicTime m_startedAt {};
    MonotonicTime m_deadline {};
    bool m_claimPending = false; // the result of OpenClaim is not known yet
    bool m_claimOpen = false; // opened and not settled yet

    // Requests go to shard 0 of the newest complete layout, or else of the newest one with a replica for it.
    SnapshotVersion m_version;
    LayoutId m_layout;
    std::vector<Attempt> m_attempts; // attempt number n is at n - 1
    std::vector<EndpointIndex> m_tried; // endpoints excluded until all replicas were tried
    std::uint32_t m_openCalls = 0; // sent and not yet ended
    std::uint32_t m_freeSends = 1; // further calls that need no token
    std::uint32_t m_provenNotRun = 0; // ended attempts that the endpoint provably did not run
    std::uint32_t m_lostConnections = 0;
    std::uint32_t m_reportedDeaths = 0; // endpoint deaths reported with ReportDeath
    std::uint32_t m_appliedReports = 0; // death reports that the control VMs have applied
    bool m_waiting = false; // in the queue for a free replica
    MonotonicTime m_waitingSince {};
    MonotonicTime m_notBefore {}; // no call is sent earlier
    std::optional<MonotonicTime> m_nextActionAt; // next time to choose an endpoint or to hedge
    std::optional<MonotonicTime> m_timerAt; // time of the last SetTimer that has not expired
    Milliseconds m_shedRetryAfter { 0 }; // longest retry delay that a refusing endpoint asked for
    Microseconds m_longestWait { 0 }; // for a free replica
};

/** Returns an execution whose first event must be RequestStarted. */
RequestExecution makeRequestExecution(ExecutionId id, CallerRequest request);

/** Handles one event and returns the effects in order. Precondition: now is not before that of the previous call. */
RequestEffects stepRequest(RequestExecution& execution, RequestEvent event, RequestContext& context, MonotonicTime now);

/** Returns whether the execution has answered and needs no further event, so that it can be deleted. */
bool isRequestOver(const RequestExecution& execution);

} // namespace flamingo
