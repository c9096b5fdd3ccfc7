#pragma once

#include "base/ids.h"
#include "base/resultcode.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace flamingo {

/** Answer to a statement. */
struct StatementAnswer {
    ResultCode m_code = ResultCode::Ok;
    std::string m_text;
    CommandId m_commandId; // empty for statements that change nothing
    Revision m_revision; // state revision that contains the change
    ConfigurationVersion m_version; // current version; after a version conflict, the version that prevailed
    bool m_inForce = false;
    std::uint32_t m_holdersConfirmed = 0; // lease holders that confirmed the revision
    std::uint32_t m_holdersTotal = 0; // all lease holders
    std::string m_rows = "[]"; // JSON array of result rows
    Milliseconds m_retryAfter { 0 };
};

} // namespace flamingo
