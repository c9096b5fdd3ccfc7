#include "api/utf8.h"

#include <cstddef>

namespace flamingo {

namespace {
// Length of a UTF-8 sequence and valid range of its second byte.
struct Sequence {
    std::size_t m_length; // in bytes; 0 if the first byte cannot start a sequence
    unsigned char m_secondLow; // the range excludes overlong forms, surrogates and values above U+10FFFF
    unsigned char m_secondHigh;
};

Sequence sequenceFor(unsigned char first)
{
    if (first < 0x80)
        return { 1, 0, 0 };
    if (first >= 0xc2 && first <= 0xdf)
        return { 2, 0x80, 0xbf };
    if (first >= 0xe0 && first <= 0xef) {
        const unsigned char low = first == 0xe0 ? 0xa0 : 0x80;
        const unsigned char high = first == 0xed ? 0x9f : 0xbf;
        return { 3, low, high };
    }
    if (first >= 0xf0 && first <= 0xf4) {
        const unsigned char low = first == 0xf0 ? 0x90 : 0x80;
        const unsigned char high = first == 0xf4 ? 0x8f : 0xbf;
        return { 4, low, high };
    }
    return { 0, 0, 0 };
}
} // namespace

bool isValidUtf8(std::string_view bytes)
{
    for (std::size_t at = 0; at < bytes.size();) {
        const auto byte = [&](std::size_t offset) { return static_cast<unsigned char>(bytes[at + offset]); };
        const Sequence sequence = sequenceFor(byte(0));
        if (sequence.m_length == 0 || at + sequence.m_length > bytes.size())
            return false;
        if (sequence.m_length > 1 && (byte(1) < sequence.m_secondLow || byte(1) > sequence.m_secondHigh))
            return false;
        for (std::size_t offset = 2; offset < sequence.m_length; ++offset)
            if ((byte(offset) & 0xc0) != 0x80)
                return false;
        at += sequence.m_length;
    }
    return true;
}

} // namespace flamingo
