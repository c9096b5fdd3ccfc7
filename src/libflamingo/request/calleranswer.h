#pragma once

#include "base/ids.h"
#include "base/resultcode.h"
#include "base/time.h"

#include <string>

namespace flamingo {

/** What a caller receives for a request of a declared kind. */
struct CallerAnswer {
    ResultCode m_code = ResultCode::Ok;
    std::string m_text; // reason when the code is not Ok
    RequestId m_id;
    ConfigurationVersion m_configurationVersion;
    std::string m_answer; // JSON body of the endpoint when the code is Ok
    bool m_recorded = false; // true when an earlier run's answer is repeated
    Milliseconds m_retryAfter { 0 };
};

} // namespace flamingo
