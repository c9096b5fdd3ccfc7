#pragma once

#include "base/ids.h"
#include "base/resultcode.h"
#include "base/time.h"

#include <string>

namespace flamingo {

/** Answer to an announcement. */
struct AnnouncementAnswer {
    ResultCode m_code = ResultCode::Ok; // UnknownName: the endpoint has to register again
    std::string m_text;
    Revision m_revision; // state revision that contains the change; 0 for renewals
    Milliseconds m_renewEvery { 2000 }; // interval at which the endpoint has to renew
    Milliseconds m_retryAfter { 0 };
};

} // namespace flamingo
