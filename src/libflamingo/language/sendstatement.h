#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <optional>
#include <string>

namespace flamingo {

/** Sends a request of a declared kind to a service. */
struct SendStatement {
    std::string m_kind;
    ServiceName m_service;
    RequestId m_request;
    std::string m_body;
    std::optional<Milliseconds> m_deadline;
    std::optional<CallerClass> m_callerClass;
};

} // namespace flamingo
