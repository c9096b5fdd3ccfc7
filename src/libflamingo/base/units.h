#pragma once

#include "base/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace flamingo {

/** Returns the duration given by a number and a unit (ms, s, min, h), or nothing if one is invalid. Thread-safe. */
std::optional<Milliseconds> makeDuration(std::string_view number, std::string_view unit);

/** Parses a duration such as "200 ms", "1.5 s" or "3 min"; returns nothing if it is invalid. Thread-safe. */
std::optional<Milliseconds> parseDuration(std::string_view text);

/** Parses a size in bytes such as "64 MiB" (units B, KiB, MiB, GiB); returns nothing if invalid. Thread-safe. */
std::optional<std::uint64_t> parseSize(std::string_view text);

/** Returns the duration as text, in the largest unit that divides it. Thread-safe. */
std::string printDuration(Milliseconds duration);

/** Returns the size as text, in the largest unit that divides it. Thread-safe. */
std::string printSize(std::uint64_t bytes);

} // namespace flamingo
