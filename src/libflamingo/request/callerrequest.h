#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <optional>
#include <string>

namespace flamingo {

/** A request of a declared kind, idempotent or not, as sent by a caller. */
struct CallerRequest {
    RequestId m_id; // "<unix seconds>-<token>", required for non-idempotent kinds
    ServiceName m_service;
    std::string m_kind;
    CallerClass m_callerClass { "default" };
    std::string m_body;
    std::optional<Milliseconds> m_deadline;
};

} // namespace flamingo
