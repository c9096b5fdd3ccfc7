#pragma once

#include "base/ids.h"
#include "base/reason.h"
#include "base/time.h"

#include <chrono>

namespace flamingo {

// Older ids are refused, so that older claims can be discarded.
constexpr std::chrono::hours requestIdMaxAge { 24 };
// Ids may be this far in the future, to allow for inaccurate clocks of callers.
constexpr std::chrono::minutes requestIdMaxLead { 5 };

/** Returns whether the id is well-formed and neither too old nor too new; if not, sets the reason. Thread-safe. */
bool isRequestIdCurrent(const RequestId& id, LogTime now, Reason& reason);

} // namespace flamingo
