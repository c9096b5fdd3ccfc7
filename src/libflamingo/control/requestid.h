#pragma once

#include "base/ids.h"
#include "base/reason.h"

#include <cstdint>
#include <optional>

namespace flamingo {

/**
 * Returns the Unix time, in seconds, of a request id of the form "<unix seconds>-<token>".
 *
 * The token has 1 to 64 letters, digits, dots, underscores or hyphens. Returns nothing and fills the
 * reason for any other id. Thread-safe.
 */
std::optional<std::int64_t> requestIdSeconds(const RequestId& id, Reason& reason);

} // namespace flamingo
