#pragma once

#include "base/time.h"

namespace flamingo {

/** Times of a planned stop. */
struct ShutdownPlan {
    MonotonicTime m_acceptUntil; // from then on, a request is served only if its timeout ends before m_answerBy
    MonotonicTime m_answerBy; // by then every request is answered
    MonotonicTime m_endAt; // when the process ends at the latest
};

/** Returns the plan for a stop that begins now and may take the grace period. Thread-safe. */
ShutdownPlan makeShutdownPlan(MonotonicTime now, Milliseconds grace);

/**
 * Returns whether a request that arrives now is served.
 *
 * Answers the requests that come late in the grace period, on connections that the caller keeps open: they would run
 * without time to finish. Thread-safe.
 */
bool acceptsRequest(const ShutdownPlan& plan, Milliseconds timeout, MonotonicTime now);

} // namespace flamingo
