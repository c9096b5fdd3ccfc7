#pragma once

#include "base/time.h"
#include "control/commandresult.h"

#include <cstdint>

namespace flamingo {

/** Result of an operator command, kept for resends. */
struct StoredResult {
    std::uint64_t m_commandHash = 0; // tells a resend from another command under the same id
    std::uint64_t m_number = 0; // order of the operator commands
    LogTime m_at;
    CommandResult m_result;
};

} // namespace flamingo
