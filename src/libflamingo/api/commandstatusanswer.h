#pragma once

#include "base/ids.h"
#include "base/resultcode.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace flamingo {

/** Whether a change is in force, and how many lease holders have confirmed its state revision. */
struct CommandStatusAnswer {
    ResultCode m_code = ResultCode::Ok;
    std::string m_text;
    Revision m_revision; // revision that was asked for
    bool m_inForce = false;
    std::uint32_t m_holdersConfirmed = 0; // lease holders that confirmed the revision
    std::uint32_t m_holdersTotal = 0; // all lease holders
    Milliseconds m_retryAfter { 0 };
};

} // namespace flamingo
