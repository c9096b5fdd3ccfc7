#pragma once

#include "base/time.h"

namespace flamingo {

// An isolated entry VM stops serving within this time, and a command is in force after at most this time plus the
// time to detect the isolation. Renewals are sent three times within one period.
constexpr Milliseconds leasePeriod { 3000 };

} // namespace flamingo
