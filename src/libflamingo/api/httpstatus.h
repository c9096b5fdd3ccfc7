#pragma once

#include "base/resultcode.h"
#include "base/time.h"

#include <string>

namespace flamingo {

/** Returns the HTTP status for a result code; docs/api.md gives the reasons. Thread-safe. */
unsigned httpStatus(ResultCode code);

/**
 * Returns the value of the Retry-After header in whole seconds, or "" if none applies. Thread-safe.
 *
 * Only refusals that a later attempt can overcome have one.
 */
std::string retryAfterSeconds(ResultCode code, Milliseconds retryAfter);

} // namespace flamingo
