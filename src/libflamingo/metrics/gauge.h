#pragma once

#include <atomic>

namespace flamingo {

/** Metric that may increase and decrease. Thread-safe; takes no lock. */
class Gauge {
public:
    /** Replaces the value. */
    void set(double value) { m_value.store(value, std::memory_order_relaxed); }

    /** Adds the difference, which may be negative, to the value. */
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
