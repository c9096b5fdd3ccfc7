#pragma once

#include "control/recordfields.h"

#include <cstring>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace flamingo::detail {

/**
 * Serialises records to an unambiguous sequence of bytes, as input for hashes.
 *
 * The bytes are the same on every VM. They are not used as a wire format.
 */
class RecordBytes {
public:
    /** Appends the value. Not thread-safe for one object. */
    template <typename T> void append(const T& value)
    {
        if constexpr (std::is_floating_point_v<T>) {
            std::uint64_t bits = 0;
            static_assert(sizeof(bits) == sizeof(value));
            std::memcpy(&bits, &value, sizeof(bits));
            appendInteger(bits);
        } else if constexpr (std::is_enum_v<T> || std::is_integral_v<T>) {
            appendInteger(static_cast<std::uint64_t>(value));
        } else if constexpr (HasFields<T>::value) {
            std::size_t left = presentFieldCount(value);
            std::apply([&](const auto&... fields) { ((left > 0 ? (--left, this->append(fields)) : void()), ...); },
                Fields<T>::tie(value));
        } else {
            appendLibraryType(value);
        }
    }

    /** Returns the bytes appended so far. */
    std::string_view bytes() const { return m_bytes; }

private:
    void appendInteger(std::uint64_t value)
    {
        char bytes[sizeof(value)];
        for (char& byte : bytes) {
            byte = static_cast<char>(value & 0xff);
            value >>= 8;
        }
        m_bytes.append(bytes, sizeof(bytes));
    }

    void appendLibraryType(const std::string& value)
    {
        appendInteger(value.size());
        m_bytes.append(value);
    }
    template <typename Tag, typename T> void appendLibraryType(const StrongValue<Tag, T>& value)
    {
        append(value.value());
    }
    void appendLibraryType(const Milliseconds& value) { append(value.count()); }
    template <typename T> void appendLibraryType(const std::optional<T>& value)
    {
        append(value.has_value());
        if (value)
            append(*value);
    }
    template <typename T> void appendLibraryType(const std::vector<T>& values) { appendRange(values); }
    template <typename T> void appendLibraryType(const std::set<T>& values) { appendRange(values); }
    template <typename K, typename V> void appendLibraryType(const std::map<K, V>& values)
    {
        appendInteger(values.size());
        for (const auto& [key, value] : values) {
            append(key);
            append(value);
        }
    }
    template <typename... Ts> void appendLibraryType(const std::variant<Ts...>& value)
    {
        appendInteger(value.index());
        std::visit([this](const auto& alternative) { this->append(alternative); }, value);
    }
    template <typename R> void appendRange(const R& values)
    {
        appendInteger(values.size());
        for (const auto& value : values)
            append(value);
    }

    std::string m_bytes;
};

} // namespace flamingo::detail
