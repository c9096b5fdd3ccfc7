#pragma once

#include "routing/endpointratelimit.h"

namespace flamingo {

/** Writes a log line for each reported change of a rate limit and clears them. On the thread of the report's loop. */
void logRateLimitChanges(RateLimitReport& report);

} // namespace flamingo
