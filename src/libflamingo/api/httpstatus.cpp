#include "api/httpstatus.h"

namespace flamingo {

unsigned httpStatus(ResultCode code)
{
    switch (code) {
    case ResultCode::VersionMismatch:
        return 409;
    case ResultCode::BodyTooLarge:
        return 413;
    case ResultCode::DeadlineExceeded:
        return 504;
    case ResultCode::InternalError:
    case ResultCode::StorageFailed:
        return 500;
    case ResultCode::StillRunning:
        return 202;
    default:
        break;
    }
    switch (resultClass(code)) {
    case ResultClass::Success:
        return 200;
    case ResultClass::NotRun:
        return 503;
    case ResultClass::Failed:
        return 502;
    case ResultClass::UnknownOutcome:
        // Proxies and HTTP clients commonly retry after 502, 503 and 504, but not after 500.
        return 500;
    case ResultClass::BadInput:
        return 400;
    }
    return 500;
}

std::string retryAfterSeconds(ResultCode code, Milliseconds retryAfter)
{
    const bool permanent = code == ResultCode::VersionMismatch || code == ResultCode::RequestIdExpired
        || code == ResultCode::Quarantined;
    if (resultClass(code) != ResultClass::NotRun || (permanent && retryAfter.count() <= 0))
        return "";
    const auto seconds = (retryAfter.count() + 999) / 1000;
    return std::to_string(seconds < 1 ? 1 : seconds);
}

} // namespace flamingo
