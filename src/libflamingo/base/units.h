#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace flamingo {

/** Returns the duration of a number and a unit (ms, s, min, h), if both are valid. Thread-safe. */
std::optional<Milliseconds> makeDuration(std::string_view number, std::string_view unit);

/** Returns the duration of a text such as "200 ms", "1.5 s" or "3 min". Thread-safe. */
std::optional<Milliseconds> parseDuration(std::string_view text);

/** Returns the bytes of a text such as "64 MiB" (units B, KiB, MiB, GiB). Thread-safe. */
std::optional<std::uint64_t> parseSize(std::string_view text);

/** Returns the duration with the largest unit that divides it. Thread-safe. */
std::string printDuration(Milliseconds duration);

/** Returns the size with the largest unit that divides it. Thread-safe. */
std::string printSize(std::uint64_t bytes);

} // namespace flamingo
