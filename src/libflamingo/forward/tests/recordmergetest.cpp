#include "forward/recordmerge.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace flamingo;

namespace {

/** Reference implementation: sorts all records of all parts and truncates the list. */
std::string referenceMerge(const std::vector<std::string>& parts, std::size_t count)
{
    std::vector<std::string> records;
    for (const std::string& part : parts) {
        for (std::size_t offset = 0; offset + recordBytes <= part.size(); offset += recordBytes)
            records.push_back(part.substr(offset, recordBytes));
    }
    std::sort(records.rbegin(), records.rend());
    std::string merged;
    for (std::size_t index = 0; index < std::min(count, records.size()); ++index)
        merged += records[index];
    return merged;
}

} // namespace

TEST_CASE("mergeRecords returns the greatest records of all parts", "[forward]")
{
    rc::prop("the result equals that of the reference implementation for random parts", [] {
        const auto parts = *rc::gen::container<std::vector<std::string>>(rc::gen::container<std::string>(
            rc::gen::element('\0', '\x01', '\x7f', static_cast<char>(0x80), static_cast<char>(0xff))));
        const auto count = *rc::gen::inRange<std::size_t>(0, 30);
        const std::vector<std::string_view> views(parts.begin(), parts.end());
        RC_ASSERT(mergeRecords(views, count) == referenceMerge(parts, count));
    });
    rc::prop("equal records of different parts are all kept", [] {
        const auto copies = *rc::gen::inRange<std::size_t>(1, 8);
        const std::vector<std::string> parts(copies, std::string(recordBytes, 'a'));
        const std::vector<std::string_view> views(parts.begin(), parts.end());
        RC_ASSERT(mergeRecords(views, copies).size() == copies * recordBytes);
    });
}
