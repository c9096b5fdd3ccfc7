#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace flamingo {

constexpr std::size_t recordBytes = 16;

/**
 * Returns the greatest records of all parts, the greatest first, compared byte by byte; equal ones all count.
 *
 * A part is a sequence of records of recordBytes in any order; a shorter rest at its end is no record. Thread-safe.
 */
std::string mergeRecords(const std::vector<std::string_view>& parts, std::size_t count);

} // namespace flamingo
