#pragma once

#include "base/ids.h"
#include "base/resultcode.h"
#include "base/time.h"

#include <string>

namespace flamingo {

/** Answer to a caller for a request of a declared kind. */
struct CallerAnswer {
    ResultCode m_code = ResultCode::Ok;
    std::string m_text; // reason if the code is not Ok
    RequestId m_id;
    ConfigurationVersion m_configurationVersion;
    std::string m_answer; // JSON body from the endpoint if the code is Ok
    bool m_recorded = false; // true if this is the recorded answer of an earlier run
    Milliseconds m_retryAfter { 0 };
};

} // namespace flamingo
