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

/** Constants of request executions. */
struct RequestSettings {
    Milliseconds m_longestDeadline { 60000 };
    // Time kept for the way back: this part of the deadline, up to the maximum.
    double m_replyMargin = 0.05;
    Milliseconds m_longestReplyMargin { 2 };
    std::uint32_t m_mostAttempts = 8;
    std::uint32_t m_callsInFlight = 2; // of an idempotent request
    // Endpoints that may have been harmed by a request before the quarantine decision is known.
    std::uint32_t m_mostEndangered = 2;
    Milliseconds m_retryBackoff { 5 };
    Milliseconds m_longestRetryBackoff { 200 };
    Milliseconds m_waitPoll { 20 };
    // Longest wait for the decision on the quarantine before another endpoint is asked.
    Milliseconds m_decisionPatience { 200 };
    std::size_t m_longestRecordedAnswer = 65536; // bytes
};

/** What a step may use of the event loop. All references outlive the call. */
struct RequestContext {
    RoutingState& m_routing;
    FingerprintMemory& m_fingerprints;
    RandomEngine& m_random;
    const RequestSettings& m_settings;
    VmId m_vm;
    Incarnation m_vmIncarnation;
    LogTime m_logTime; // as agreed with the control VMs, or the wall clock
    bool m_leaseValid = true;
};

enum class RequestPhase {
    Idle,
    Claiming,
    Sending, // choosing an endpoint, or waiting for its answer
    Finished,
};

/** One request of a declared kind from its admission to its answer. Change it through stepRequest(). */
struct RequestExecution {
    ExecutionId m_id; // unique at this daemon, over queries and requests
    CallerRequest m_request;

    RequestPhase m_phase = RequestPhase::Idle;
    bool m_idempotent = false;
    Fingerprint m_fingerprint;
    MonotonicTime m_startedAt {};
    MonotonicTime m_deadline {};
    bool m_claimPending = false; // the result of OpenClaim is not known yet
    bool m_claimOpen = false; // opened and not settled

    // Shard 0 of the newest complete layout, or of the newest one that has a replica for it.
    SnapshotVersion m_version;
    LayoutId m_layout;
    std::vector<Attempt> m_attempts; // attempt number n is at n - 1
    std::vector<EndpointIndex> m_tried;
    std::uint32_t m_open = 0;
    std::uint32_t m_freeSends = 1; // sends that cost no token
    std::uint32_t m_provenNotRun = 0;
    std::uint32_t m_lostConnections = 0;
    std::uint32_t m_reports = 0; // of suspected crashes
    std::uint32_t m_decisions = 0; // reports that the control VMs have applied
    bool m_waiting = false;
    MonotonicTime m_waitingSince {};
    MonotonicTime m_notBefore {};
    std::optional<MonotonicTime> m_nextLook; // when to choose again, or to hedge
    std::optional<MonotonicTime> m_timerAt;
    Milliseconds m_shedRetryAfter { 0 };
    Microseconds m_longestWait { 0 };
};

/** Returns an execution that awaits RequestStarted. */
RequestExecution makeRequestExecution(ExecutionId id, CallerRequest request);

/** Takes one event and returns what to do, in order. Time must not go back. */
RequestEffects stepRequest(RequestExecution& execution, RequestEvent event, RequestContext& context, MonotonicTime now);

/** Returns whether the execution has answered and needs no further event, so that it can be dropped. */
bool isRequestOver(const RequestExecution& execution);

} // namespace flamingo
