#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "control/command.h"
#include "endpoint/endpointcall.h"
#include "routing/endpointindex.h"
#include "routing/routingstate.h"

namespace flamingo {

/** Sends a call to an endpoint; its end comes back as CallReplied. */
struct SendCall {
    EndpointCall m_call;
    bool m_isHedge = false;
};

/** Cancels a call. Its statistics are settled already. */
struct CancelCall {
    AttemptNumber m_attempt;
};

/** Asks for TimerExpired at the time. Replaces the timer asked for before. */
struct SetTimer {
    MonotonicTime m_at;
};

/** Says that a suspected fingerprint succeeded; the loop proposes ClearSuspect. */
struct MarkSuccess {
    Fingerprint m_fingerprint;
};

/** Asks the loop to pass CapacityFreed to another execution, before it takes up other events. */
struct WakeExecution {
    ExecutionId m_execution;
    EndpointIndex m_endpoint;
};

// ReportDeath is the command to propose. When it is applied, the loop calls noteReportApplied() for the
// fingerprint and passes QuarantineDecided to the execution if that still runs.

} // namespace flamingo
