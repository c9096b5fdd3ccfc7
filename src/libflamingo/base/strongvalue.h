#pragma once

#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

namespace flamingo {

/**
 * Strong typedef: a value of type T that the compiler does not convert to or from a value with another Tag.
 *
 * As thread-safe as T; distinct objects may be used by distinct threads.
 */
template <typename Tag, typename T> class StrongValue {
public:
    using ValueType = T;

    StrongValue() = default;
    explicit StrongValue(T value)
        : m_value(std::move(value))
    {
    }

    /** Returns the underlying value. Safe for concurrent readers. */
    const T& value() const { return m_value; }

    friend bool operator==(const StrongValue& a, const StrongValue& b) { return a.m_value == b.m_value; }
    friend bool operator!=(const StrongValue& a, const StrongValue& b) { return !(a == b); }
    friend bool operator<(const StrongValue& a, const StrongValue& b) { return a.m_value < b.m_value; }
    friend bool operator>(const StrongValue& a, const StrongValue& b) { return b < a; }
    friend bool operator<=(const StrongValue& a, const StrongValue& b) { return !(b < a); }
    friend bool operator>=(const StrongValue& a, const StrongValue& b) { return !(a < b); }
    friend std::ostream& operator<<(std::ostream& out, const StrongValue& v) { return out << v.m_value; }

private:
    T m_value {};
};

} // namespace flamingo

template <typename Tag, typename T> struct std::hash<flamingo::StrongValue<Tag, T>> {
    std::size_t operator()(const flamingo::StrongValue<Tag, T>& v) const { return std::hash<T> {}(v.value()); }
};
