#pragma once

#include <atomic>
#include <cstdint>

namespace flamingo {

/** Metric that only increases. Thread-safe; takes no lock. */
class Counter {
public:
    /** Adds to the counter. */
    void add(std::uint64_t count = 1) { m_value.fetch_add(count, std::memory_order_relaxed); }

    /** Returns the current value. */
    std::uint64_t value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<std::uint64_t> m_value { 0 };
};

} // namespace flamingo
