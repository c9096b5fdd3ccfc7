#pragma once

#include "base/time.h"

namespace flamingo {

// An entry VM that is cut off stops within this time, and a command is in force after at most this
// time plus the time to notice. Renewals are sent three times within it.
constexpr Milliseconds leasePeriod { 3000 };

} // namespace flamingo
