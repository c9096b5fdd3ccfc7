#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace flamingo {

/** Returns the number of single-byte edits between two texts, compared without case. Thread-safe. */
std::size_t editDistance(std::string_view a, std::string_view b);

/**
 * Returns the candidate that was probably meant, or an empty text if none is close. Thread-safe.
 *
 * Of equally close candidates the first one is taken.
 */
std::string nearestName(std::string_view name, const std::vector<std::string>& candidates);

/** Returns "; did you mean 'X'?" or an empty text, to be appended to an error. Thread-safe. */
std::string suggestion(std::string_view name, const std::vector<std::string>& candidates);

} // namespace flamingo
