#pragma once

#include "base/ids.h"
#include "base/reason.h"
#include "base/time.h"

#include <chrono>

namespace flamingo {

// Older ids are refused. The control VMs keep claims for the same time (see control/apply.h), so that a request cannot
// run again after its claim was dropped.
constexpr std::chrono::hours requestIdMaxAge { 24 };
// Ids may be this far in the future, to allow for callers whose clocks run fast. The control VMs accept the same
// difference.
constexpr std::chrono::minutes requestIdMaxLead { 5 };

/** Returns whether the id is well-formed and neither too old nor too new; if not, sets the reason. Thread-safe. */
bool isRequestIdCurrent(const RequestId& id, LogTime now, Reason& reason);

} // namespace flamingo
