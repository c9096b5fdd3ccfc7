#include "request/requestid.h"

#include "control/requestid.h"

namespace flamingo {

bool isRequestIdCurrent(const RequestId& id, LogTime now, Reason& reason)
{
    const auto seconds = requestIdSeconds(id, reason);
    if (!seconds)
        return false;
    const auto age = Milliseconds(now.value()) - std::chrono::seconds(*seconds);
    if (age > requestIdMaxAge || age < -requestIdMaxLead) {
        reason = { ResultCode::RequestIdExpired,
            "not run: the time in the request id is more than 24 h old or more than 5 min ahead" };
        return false;
    }
    return true;
}

} // namespace flamingo
