#pragma once

#include <atomic>

namespace flamingo {

/** A number that goes up and down. Thread-safe and without locks. */
class Gauge {
public:
    /** Replaces the value. */
    void set(double value) { m_value.store(value, std::memory_order_relaxed); }

    /** Adds to the value; a negative difference lowers it. */
    void add(double difference)
    {
        double value = m_value.load(std::memory_order_relaxed);
        while (!m_value.compare_exchange_weak(value, value + difference, std::memory_order_relaxed)) { }
    }

    /** Returns the current value. */
    double value() const { return m_value.load(std::memory_order_relaxed); }

private:
    std::atomic<double> m_value { 0.0 };
};

} // namespace flamingo
