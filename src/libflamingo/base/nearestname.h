#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace flamingo {

/** Returns the Levenshtein distance of two texts in bytes, ignoring the case of letters. Thread-safe. */
std::size_t editDistance(std::string_view a, std::string_view b);

/**
 * Returns the candidate closest to the name by edit distance, or an empty text if none is close. Thread-safe.
 *
 * Returns the first of several equally close candidates.
 */
std::string nearestName(std::string_view name, const std::vector<std::string>& candidates);

/**
 * Returns "; did you mean 'X'?" to append to an error message, or an empty text if no candidate is close.
 *
 * Thread-safe.
 */
std::string suggestion(std::string_view name, const std::vector<std::string>& candidates);

} // namespace flamingo
