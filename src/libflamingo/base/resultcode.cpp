#include "base/resultcode.h"

namespace flamingo {

std::string_view resultCodeName(ResultCode code)
{
    switch (code) {
    case ResultCode::Ok:
        return "Ok";
    case ResultCode::NoLease:
        return "NoLease";
    case ResultCode::Overloaded:
        return "Overloaded";
    case ResultCode::Stopping:
        return "Stopping";
    case ResultCode::Quarantined:
        return "Quarantined";
    case ResultCode::RequestIdExpired:
        return "RequestIdExpired";
    case ResultCode::ControlUnavailable:
        return "ControlUnavailable";
    case ResultCode::NoEndpoint:
        return "NoEndpoint";
    case ResultCode::EndpointRefused:
        return "EndpointRefused";
    case ResultCode::VersionMismatch:
        return "VersionMismatch";
    case ResultCode::CoverageUnattainable:
        return "CoverageUnattainable";
    case ResultCode::NotReady:
        return "NotReady";
    case ResultCode::DeadlineTooShort:
        return "DeadlineTooShort";
    case ResultCode::NotLeader:
        return "NotLeader";
    case ResultCode::ClaimsFull:
        return "ClaimsFull";
    case ResultCode::DeadlineExceeded:
        return "DeadlineExceeded";
    case ResultCode::CoverageBelowFloor:
        return "CoverageBelowFloor";
    case ResultCode::SnapshotGone:
        return "SnapshotGone";
    case ResultCode::EndpointFailed:
        return "EndpointFailed";
    case ResultCode::InternalError:
        return "InternalError";
    case ResultCode::StorageFailed:
        return "StorageFailed";
    case ResultCode::OutcomeUnknown:
        return "OutcomeUnknown";
    case ResultCode::StillRunning:
        return "StillRunning";
    case ResultCode::CommandOutcomeUnknown:
        return "CommandOutcomeUnknown";
    case ResultCode::MalformedBody:
        return "MalformedBody";
    case ResultCode::BodyTooLarge:
        return "BodyTooLarge";
    case ResultCode::UnknownService:
        return "UnknownService";
    case ResultCode::UnknownKind:
        return "UnknownKind";
    case ResultCode::InvalidField:
        return "InvalidField";
    case ResultCode::SyntaxError:
        return "SyntaxError";
    case ResultCode::UnknownName:
        return "UnknownName";
    case ResultCode::InvalidUtf8:
        return "InvalidUtf8";
    case ResultCode::RequestIdReused:
        return "RequestIdReused";
    case ResultCode::LayoutConflict:
        return "LayoutConflict";
    case ResultCode::AlreadyExists:
        return "AlreadyExists";
    case ResultCode::UnsupportedProtocol:
        return "UnsupportedProtocol";
    case ResultCode::InvalidSettings:
        return "InvalidSettings";
    case ResultCode::WrongIdempotence:
        return "WrongIdempotence";
    case ResultCode::CommandIdReused:
        return "CommandIdReused";
    case ResultCode::InvalidRoutes:
        return "InvalidRoutes";
    case ResultCode::UnknownRoute:
        return "UnknownRoute";
    case ResultCode::NoConfiguration:
        return "NoConfiguration";
    case ResultCode::EndpointRateLimited:
        return "EndpointRateLimited";
    case ResultCode::QuotaExceeded:
        return "QuotaExceeded";
    case ResultCode::UnknownApiKey:
        return "UnknownApiKey";
    }
    return "Unlisted";
}

ResultClass resultClass(ResultCode code)
{
    const int number = static_cast<int>(code);
    if (number == 0)
        return ResultClass::Success;
    if (number < 2000)
        return ResultClass::NotRun;
    if (number < 3000)
        return ResultClass::Failed;
    if (number < 4000)
        return ResultClass::UnknownOutcome;
    return ResultClass::BadInput;
}

} // namespace flamingo
