#pragma once

#include "base/ids.h"
#include "base/reason.h"
#include "base/time.h"

#include <chrono>

namespace flamingo {

// Ids older than the window are refused, so that claims older than it can be discarded. The part ahead
// allows for callers whose clocks are wrong.
constexpr std::chrono::hours requestIdWindow { 24 };
constexpr std::chrono::minutes requestIdAhead { 5 };

/** Returns whether the id is well-formed and its time lies in the window around now. Thread-safe. */
bool isRequestIdCurrent(const RequestId& id, LogTime now, Reason& reason);

} // namespace flamingo
