#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "control/command.h"
#include "endpoint/endpointcall.h"
#include "routing/endpointindex.h"
#include "routing/routingstate.h"

namespace flamingo {

/** Sends a call to an endpoint; its result is passed back as CallReplied. */
struct SendCall {
    EndpointCall m_call;
    bool m_isHedge = false;
};

/** Cancels a call. Its statistics have already been updated. */
struct CancelCall {
    AttemptNumber m_attempt;
};

/** Requests TimerExpired at the given time; replaces the previous timer. */
struct SetTimer {
    MonotonicTime m_at;
};

/** Reports that a request with a suspected fingerprint succeeded; the event loop proposes ClearSuspect. */
struct MarkSuccess {
    Fingerprint m_fingerprint;
};

/** Requests CapacityFreed for another execution; the event loop passes it on before it handles other events. */
struct WakeExecution {
    ExecutionId m_execution;
    EndpointIndex m_endpoint;
};

// The effect ReportDeath is a command that the event loop proposes. When it is applied, the loop calls
// recordReportApplied() for the fingerprint and passes QuarantineDecided to the execution if it still runs.

} // namespace flamingo
