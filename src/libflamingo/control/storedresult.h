#pragma once

#include "base/time.h"
#include "control/commandresult.h"

#include <cstdint>

namespace flamingo {

/** Stored result of an operator command, returned when the command is resent. */
struct StoredResult {
    std::uint64_t m_commandHash = 0; // distinguishes a resend from another command with the same id
    std::uint64_t m_number = 0; // position in the order of the operator commands
    LogTime m_at;
    CommandResult m_result;
};

} // namespace flamingo
