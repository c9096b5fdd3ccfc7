#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "control/command.h"
#include "endpoint/endpointcall.h"
#include "request/calleranswer.h"

#include <variant>
#include <vector>

namespace flamingo {

/** Asks the control leader for the right to send once; its result comes back as ClaimAnswered. */
struct AskClaim {
    OpenClaim m_claim;
};

/** Sends a call to an endpoint; its end comes back as RequestReplied. */
struct SendRequestCall {
    EndpointCall m_call;
};

/** Cancels a call; its end still comes back as RequestReplied. */
struct CancelRequestCall {
    AttemptNumber m_attempt;
};

/** Asks for RequestTimer at the time. Replaces the timer asked for before. */
struct SetRequestTimer {
    MonotonicTime m_at;
};

/** Says that a suspected fingerprint succeeded; the loop proposes ClearSuspect. */
struct RequestSucceeded {
    Fingerprint m_fingerprint;
};

/** Answers the caller. The execution is over and takes no further events. */
struct FinishRequest {
    CallerAnswer m_answer;
};

// SettleClaim and ReportDeath are the commands to propose; the result of SettleClaim comes back as RequestSettled.
using RequestEffect = std::variant<AskClaim, SendRequestCall, CancelRequestCall, SetRequestTimer, RequestSucceeded,
    SettleClaim, ReportDeath, FinishRequest>;
using RequestEffects = std::vector<RequestEffect>;

} // namespace flamingo
