#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace flamingo {

constexpr std::size_t recordBytes = 16; // size of one record

/**
 * Returns the greatest records of all parts in descending order, at most count of them. Thread-safe.
 *
 * Records are compared byte by byte; duplicates are kept. A part is a sequence of records of recordBytes bytes in any
 * order; an incomplete record at its end is ignored.
 */
std::string mergeRecords(const std::vector<std::string_view>& parts, std::size_t count);

} // namespace flamingo
