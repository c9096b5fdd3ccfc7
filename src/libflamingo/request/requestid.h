#pragma once

#include "base/ids.h"
#include "base/reason.h"
#include "base/time.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace flamingo {

// Ids older than the window are refused, so that claims older than it can be discarded. The part ahead
// allows for callers whose clocks are wrong.
constexpr std::chrono::hours requestIdWindow { 24 };
constexpr std::chrono::minutes requestIdAhead { 5 };

/**
 * Returns the Unix seconds of an id of the form "<unix seconds>-<token>", or nothing with the reason.
 *
 * The token has 1 to 64 letters, digits, dots, underscores or hyphens. Thread-safe.
 */
std::optional<std::int64_t> requestIdSeconds(const RequestId& id, Reason& reason);

/** Returns whether the id is well-formed and its time lies in the window around now. Thread-safe. */
bool isRequestIdCurrent(const RequestId& id, LogTime now, Reason& reason);

} // namespace flamingo
