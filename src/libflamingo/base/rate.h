#pragma once

#include "base/strongvalue.h"

#include <optional>
#include <string_view>

namespace flamingo {

// Rate of calls or requests.
using RequestsPerSecond = StrongValue<struct RequestsPerSecondTag, double>;

/** Parses a decimal number of at least 0, such as "25.8"; returns nothing if it is invalid. Thread-safe. */
std::optional<RequestsPerSecond> parseRate(std::string_view text);

} // namespace flamingo
