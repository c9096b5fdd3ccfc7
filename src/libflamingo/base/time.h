#pragma once

#include "base/strongvalue.h"

#include <chrono>
#include <cstdint>
#include <ctime>

namespace flamingo {

using Milliseconds = std::chrono::milliseconds;
using Microseconds = std::chrono::microseconds;

/**
 * Monotonic clock that also counts the time during which the VM is suspended.
 *
 * std::chrono::steady_clock does not advance during a suspension: a VM that used it would rely on expired leases.
 */
struct MonotonicClock {
    using duration = std::chrono::nanoseconds; // NOLINT(readability-identifier-naming)
    using rep = duration::rep; // NOLINT(readability-identifier-naming)
    using period = duration::period; // NOLINT(readability-identifier-naming)
    using time_point = std::chrono::time_point<MonotonicClock>; // NOLINT(readability-identifier-naming)
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming)

    /** Returns the current time. Thread-safe. */
    static time_point now()
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
    }
};

using MonotonicTime = MonotonicClock::time_point;
// Unix time in milliseconds, as the entries of the replicated log carry it. The time of the log's state never
// decreases.
using LogTime = StrongValue<struct LogTimeTag, std::int64_t>;

/** Returns the current time of MonotonicClock. Thread-safe. */
inline MonotonicTime monotonicNow() { return MonotonicClock::now(); }

/** Returns the current wall-clock time. Thread-safe. */
inline LogTime wallClock()
{
    using std::chrono::duration_cast;
    return LogTime(duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
}

} // namespace flamingo
