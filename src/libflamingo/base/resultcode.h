#pragma once

#include <string_view>

namespace flamingo {

/**
 * Numbered outcome of an operation, reported to callers and operators.
 *
 * 0 success; 1xxx refused and not run; 2xxx failed; 3xxx outcome unknown; 4xxx bad input.
 * docs/result-codes.md describes each code; a test checks that it lists exactly these codes.
 */
enum class ResultCode : int {
    Ok = 0,

    NoLease = 1001,
    Overloaded = 1002,
    Stopping = 1003,
    Quarantined = 1004,
    RequestIdExpired = 1005,
    ControlUnavailable = 1006,
    NoEndpoint = 1007,
    EndpointRefused = 1008,
    VersionMismatch = 1009,
    CoverageUnattainable = 1010,
    NotReady = 1011,
    DeadlineTooShort = 1012,
    NotLeader = 1013,
    ClaimsFull = 1014,
    NoConfiguration = 1015,
    EndpointRateLimited = 1016,
    QuotaExceeded = 1017,

    DeadlineExceeded = 2001,
    CoverageBelowFloor = 2002,
    SnapshotGone = 2003,
    EndpointFailed = 2004,
    InternalError = 2005,
    StorageFailed = 2006,

    OutcomeUnknown = 3001,
    StillRunning = 3002,
    CommandOutcomeUnknown = 3003,

    MalformedBody = 4001,
    BodyTooLarge = 4002,
    UnknownService = 4003,
    UnknownKind = 4004,
    InvalidField = 4005,
    SyntaxError = 4006,
    UnknownName = 4007,
    InvalidUtf8 = 4008,
    RequestIdReused = 4009,
    LayoutConflict = 4010,
    AlreadyExists = 4011,
    UnsupportedProtocol = 4012,
    InvalidSettings = 4013,
    WrongIdempotence = 4014,
    CommandIdReused = 4015,
    InvalidRoutes = 4016,
    UnknownRoute = 4017,
    UnknownApiKey = 4018,
};

/** Class of a result code, given by the thousands of its number. */
enum class ResultClass {
    Success,
    NotRun,
    Failed,
    UnknownOutcome,
    BadInput,
};

/** Returns the name of the enumerator, or "Unlisted" for a number without one. Thread-safe. */
std::string_view resultCodeName(ResultCode code);

/** Returns the class to which the number of the code belongs. Thread-safe. */
ResultClass resultClass(ResultCode code);

} // namespace flamingo
