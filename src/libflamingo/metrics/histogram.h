#pragma once

#include <cstdint>
#include <memory>
#include <vector>

namespace flamingo {

/** Counts of values by upper bound, and their sum. Thread-safe and without locks. */
class Histogram {
public:
    /** Precondition: at least two finite bounds in ascending order; throws std::invalid_argument otherwise. */
    explicit Histogram(std::vector<double> bounds);
    ~Histogram();
    Histogram(const Histogram&) = delete;
    Histogram& operator=(const Histogram&) = delete;

    /** Counts one value. NaN is ignored. */
    void record(double value);

    /** Returns the upper bounds, each inclusive, without the last one at infinity. */
    const std::vector<double>& bounds() const;

    /** Returns the count of each bucket, not cumulated; the last one is above all bounds. */
    std::vector<std::uint64_t> bucketCounts() const;

    /** Returns the sum of all values. */
    double sum() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace flamingo
