#pragma once

#include "base/time.h"

#include <cstddef>
#include <optional>

namespace flamingo {

/**
 * How often a queue serves a waiting request, observed over the last seconds in which requests waited.
 *
 * A plain value, used on one event loop.
 */
struct TurnRate {
    double m_turns = 0.0; // decayed number of requests served
    double m_seconds = 0.0; // decayed time during which requests waited
    MonotonicTime m_since {}; // the time since then is not counted yet
};

/** Begins to observe a queue that was empty. What was observed before counts less, the longer the queue was empty. */
void beginWaiting(TurnRate& rate, MonotonicTime now);

/** Records that a waiting request is served. Precondition: beginWaiting() was called when the queue began to fill. */
void recordTurn(TurnRate& rate, MonotonicTime now);

/**
 * Returns when the requests ahead of a new one will have left so few that it would be served in time, or nothing if it
 * may be served in time now. Thread-safe.
 *
 * A request that certainly comes too late is refused at once: its caller would wait in vain, and everyone behind it
 * longer. Nobody is refused if nobody is ahead, by an estimate from few turns, or by one that is less than half too
 * high.
 */
std::optional<Milliseconds> timeUntilRoom(
    const TurnRate& rate, std::size_t turnsBefore, MonotonicClock::duration timeLeft);

} // namespace flamingo
