#pragma once

#include "api/announcement.h"
#include "api/apisettings.h"
#include "api/commandstatusrequest.h"
#include "api/statementrequest.h"
#include "base/reason.h"
#include "query/queryrequest.h"
#include "request/callerrequest.h"

#include <optional>
#include <string>
#include <string_view>

namespace flamingo {

// Each function parses one HTTP body. If the body is invalid, the function returns nothing and sets the reason. All are
// thread-safe.

std::optional<QueryRequest> readQuery(std::string_view body, const ApiSettings& settings, Reason& reason);
std::optional<CallerRequest> readRequest(std::string_view body, const ApiSettings& settings, Reason& reason);
std::optional<Announcement> readAnnouncement(std::string_view body, Reason& reason);
std::optional<StatementRequest> readStatement(std::string_view body, const ApiSettings& settings, Reason& reason);

/** Parses the revision in the path and the value of the parameter wait_ms, which may be empty. */
std::optional<CommandStatusRequest> readCommandStatus(
    const std::string& revision, const std::string& wait, const ApiSettings& settings, Reason& reason);

/** Returns a new request id "<unix seconds>-<16 random hexadecimal digits>". Thread-safe. */
RequestId generateRequestId();

} // namespace flamingo
