#pragma once

#include "routing/executionevents.h"

#include <variant>

namespace flamingo {

/** The first event of each execution. */
struct QueryStarted { };

using QueryEvent
    = std::variant<QueryStarted, CallReplied, TimerExpired, StateChanged, CapacityFreed, QuarantineDecided>;

} // namespace flamingo
