#include "forward/recordmerge.h"

#include <algorithm>
#include <cstring>

namespace flamingo {

std::string mergeRecords(const std::vector<std::string_view>& parts, std::size_t count)
{
    std::vector<const char*> records;
    for (const std::string_view part : parts) {
        for (std::size_t offset = 0; offset + recordBytes <= part.size(); offset += recordBytes)
            records.push_back(part.data() + offset);
    }
    const auto greater = [](const char* a, const char* b) { return std::memcmp(a, b, recordBytes) > 0; };
    const std::size_t kept = std::min(count, records.size());
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(kept), records.end(), greater);
    std::string merged;
    merged.reserve(kept * recordBytes);
    for (std::size_t index = 0; index < kept; ++index)
        merged.append(records[index], recordBytes);
    return merged;
}

} // namespace flamingo
