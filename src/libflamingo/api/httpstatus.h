#pragma once

#include "base/resultcode.h"
#include "base/time.h"

#include <string>

namespace flamingo {

/** Returns the HTTP status for a result code; docs/api.md explains the mapping. Thread-safe. */
unsigned httpStatus(ResultCode code);

/**
 * Returns the value of the Retry-After header in whole seconds, or "" if none applies. Thread-safe.
 *
 * Only refusals after which a later attempt can succeed have one.
 */
std::string retryAfterSeconds(ResultCode code, Milliseconds retryAfter);

} // namespace flamingo
