#pragma once

#include "base/ids.h"
#include "control/commandresult.h"
#include "endpoint/endpointcall.h"

#include <variant>

namespace flamingo {

/** The first event of each execution. */
struct RequestStarted { };

/** The control leader answered AskClaim, or did not in time. */
struct ClaimAnswered {
    CommandResult m_result;
};

/** A call of the execution ended. */
struct RequestReplied {
    AttemptNumber m_attempt;
    EndpointReply m_reply;
};

/** The control leader answered SettleClaim, or did not in time. */
struct RequestSettled {
    CommandResult m_result;
};

/** The time of the last SetRequestTimer has come. */
struct RequestTimer { };

using RequestEvent = std::variant<RequestStarted, ClaimAnswered, RequestReplied, RequestSettled, RequestTimer>;

} // namespace flamingo
