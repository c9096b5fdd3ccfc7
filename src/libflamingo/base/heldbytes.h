#pragma once

#include "base/bytebudget.h"

#include <cstdint>

namespace flamingo {

/**
 * Bytes that one object holds, counted in a budget until the object is destroyed.
 *
 * Without a budget the bytes are only counted. Not thread-safe. The budget must outlive the object.
 */
class HeldBytes {
public:
    explicit HeldBytes(ByteBudget* budget)
        : m_budget(budget)
    {
    }
    ~HeldBytes() { set(0); }
    HeldBytes(const HeldBytes&) = delete;
    HeldBytes& operator=(const HeldBytes&) = delete;

    std::uint64_t bytes() const { return m_bytes; }

    /** Replaces the number of bytes. */
    void set(std::uint64_t bytes)
    {
        const std::uint64_t before = m_bytes;
        m_bytes = bytes;
        if (m_budget && bytes > before)
            m_budget->add(bytes - before);
        else if (m_budget)
            m_budget->subtract(before - bytes);
    }

    void add(std::uint64_t bytes) { set(m_bytes + bytes); }

    /** Precondition: at least this many bytes are counted. */
    void subtract(std::uint64_t bytes) { set(m_bytes - bytes); }

private:
    ByteBudget* m_budget;
    std::uint64_t m_bytes = 0;
};

} // namespace flamingo
