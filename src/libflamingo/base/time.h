#pragma once

#include "base/strongvalue.h"

#include <chrono>
#include <cstdint>

namespace flamingo {

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;
using MonotonicTime = std::chrono::steady_clock::time_point;

// Unix time in milliseconds as agreed in the replicated log; it never decreases.
using LogTime = StrongValue<struct LogTimeTag, std::int64_t>;

/** Returns the monotonic clock. Thread-safe. */
inline MonotonicTime monotonicNow() { return std::chrono::steady_clock::now(); }

/** Returns the wall clock as Unix milliseconds. Thread-safe. */
inline LogTime wallClock()
{
    using std::chrono::duration_cast;
    return LogTime(duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

} // namespace flamingo
