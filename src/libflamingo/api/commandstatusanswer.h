#pragma once

#include "base/ids.h"
#include "base/resultcode.h"
#include "base/time.h"

#include <cstdint>
#include <string>

namespace flamingo {

/** How far the change of a revision has spread. */
struct CommandStatusAnswer {
    ResultCode m_code = ResultCode::Ok;
    std::string m_text;
    Revision m_revision; // the one asked for
    bool m_inForce = false;
    std::uint32_t m_holdersConfirmed = 0;
    std::uint32_t m_holdersTotal = 0;
    Milliseconds m_retryAfter { 0 };
};

} // namespace flamingo
