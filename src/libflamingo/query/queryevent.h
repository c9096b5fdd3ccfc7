#pragma once

#include "routing/executionevents.h"

#include <variant>

namespace flamingo {

/** Starts the execution. It must be the first event. */
struct QueryStarted { };

using QueryEvent
    = std::variant<QueryStarted, CallReplied, TimerExpired, StateChanged, CapacityFreed, QuarantineDecided>;

} // namespace flamingo
