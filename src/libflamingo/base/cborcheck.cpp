#include "base/cborcheck.h"

#include <cstdint>
#include <vector>

namespace flamingo {

namespace {

enum MajorType : unsigned {
    Bytes = 2,
    Text = 3,
    Array = 4,
    Map = 5,
    Tag = 6,
};

/** Reads the argument of an item's head; returns false if it is indefinite, reserved or truncated. */
bool readArgument(std::string_view bytes, std::size_t& position, unsigned additional, std::uint64_t& argument)
{
    constexpr unsigned oneByteArgument = 24;
    constexpr unsigned eightByteArgument = 27;
    if (additional < oneByteArgument) {
        argument = additional;
        return true;
    }
    if (additional > eightByteArgument)
        return false;
    const std::size_t length = std::size_t(1) << (additional - oneByteArgument);
    if (bytes.size() - position < length)
        return false;
    argument = 0;
    for (std::size_t i = 0; i < length; ++i)
        argument = (argument << 8U) | static_cast<unsigned char>(bytes[position++]);
    return true;
}

} // namespace

bool isBoundedCbor(std::string_view bytes, std::size_t maxDepth, std::size_t maxItems)
{
    std::vector<std::uint64_t> remaining { 1 }; // items not yet read at each nesting level
    std::size_t position = 0;
    std::size_t items = 0;
    while (!remaining.empty()) {
        if (remaining.back() == 0) {
            remaining.pop_back();
            continue;
        }
        --remaining.back();
        if (position >= bytes.size() || ++items > maxItems)
            return false;
        const auto head = static_cast<unsigned char>(bytes[position++]);
        const unsigned major = head >> 5U;
        std::uint64_t argument = 0;
        if (major == Tag || !readArgument(bytes, position, head & 0x1fU, argument))
            return false;
        if (major == Bytes || major == Text) {
            if (argument > bytes.size() - position)
                return false;
            position += static_cast<std::size_t>(argument);
        } else if (major == Array || major == Map) {
            if (argument > bytes.size() || remaining.size() > maxDepth)
                return false;
            remaining.push_back(major == Map ? 2 * argument : argument);
        }
    }
    return position == bytes.size();
}

} // namespace flamingo
