#pragma once

#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>
#include <utility>

namespace flamingo {

/**
 * Writes CBOR (RFC 8949) directly into a string.
 *
 * Snapshots are encoded on the control loop, and encoding the state of 53,000 endpoints through a tree of JSON
 * values takes 155 ms. Decoding uses nlohmann::json, which checks the input.
 * Not thread-safe for one object.
 */
class CborWriter {
public:
    void unsignedInteger(std::uint64_t value) { head(majorUnsigned, value); }
    void signedInteger(std::int64_t value)
    {
        if (value >= 0)
            head(majorUnsigned, static_cast<std::uint64_t>(value));
        else
            head(majorNegative, ~static_cast<std::uint64_t>(value));
    }
    void text(std::string_view value)
    {
        head(majorText, value.size());
        m_bytes.append(value);
    }
    void bytes(std::string_view value)
    {
        head(majorBytes, value.size());
        m_bytes.append(value);
    }
    void boolean(bool value) { m_bytes.push_back(static_cast<char>(value ? simpleTrue : simpleFalse)); }
    void null() { m_bytes.push_back(static_cast<char>(simpleNull)); }
    void real(double value)
    {
        std::uint64_t bits = 0;
        std::memcpy(&bits, &value, sizeof(bits));
        m_bytes.push_back(static_cast<char>(float64));
        bigEndian(bits, 8);
    }
    /** Begins an array; exactly size values must follow. */
    void array(std::size_t size) { head(majorArray, size); }
    /** Begins a map; exactly size pairs of a text key and a value must follow. */
    void map(std::size_t size) { head(majorMap, size); }

    /** Returns the bytes written so far; the writer is empty afterwards. */
    std::string take() { return std::move(m_bytes); }

private:
    static constexpr unsigned majorUnsigned = 0;
    static constexpr unsigned majorNegative = 1;
    static constexpr unsigned majorBytes = 2;
    static constexpr unsigned majorText = 3;
    static constexpr unsigned majorArray = 4;
    static constexpr unsigned majorMap = 5;
    static constexpr unsigned simpleFalse = 0xf4;
    static constexpr unsigned simpleTrue = 0xf5;
    static constexpr unsigned simpleNull = 0xf6;
    static constexpr unsigned float64 = 0xfb;

    // Writes the initial byte and the argument in the shortest form: values below 24 in the initial byte, others in
    // 1, 2, 4 or 8 bytes after it.
    void head(unsigned major, std::uint64_t value)
    {
        const unsigned type = major << 5;
        if (value < 24) {
            m_bytes.push_back(static_cast<char>(type | value));
        } else if (value <= 0xff) {
            m_bytes.push_back(static_cast<char>(type | 24));
            bigEndian(value, 1);
        } else if (value <= 0xffff) {
            m_bytes.push_back(static_cast<char>(type | 25));
            bigEndian(value, 2);
        } else if (value <= 0xffffffff) {
            m_bytes.push_back(static_cast<char>(type | 26));
            bigEndian(value, 4);
        } else {
            m_bytes.push_back(static_cast<char>(type | 27));
            bigEndian(value, 8);
        }
    }
    void bigEndian(std::uint64_t value, int size)
    {
        char bytes[8];
        for (int index = size - 1; index >= 0; --index) {
            bytes[index] = static_cast<char>(value & 0xff);
            value >>= 8;
        }
        m_bytes.append(bytes, static_cast<std::size_t>(size));
    }

    std::string m_bytes;
};

} // namespace flamingo
