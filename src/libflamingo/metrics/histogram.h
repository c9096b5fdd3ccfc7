#pragma once

#include <cstdint>
#include <memory>
#include <vector>

namespace flamingo {

/** Counts values in buckets with fixed upper bounds, and sums them. Thread-safe; takes no lock. */
class Histogram {
public:
    /** Throws std::invalid_argument unless there are at least two bounds, finite and in strictly ascending order. */
    explicit Histogram(std::vector<double> bounds);
    ~Histogram();
    Histogram(const Histogram&) = delete;
    Histogram& operator=(const Histogram&) = delete;

    /** Counts one value; ignores NaN. */
    void record(double value);

    /** Returns the inclusive upper bounds of the buckets, except for the last bucket, which has none. */
    const std::vector<double>& bounds() const;

    /** Returns the count of each bucket, not cumulative; the last bucket is for values above all bounds. */
    std::vector<std::uint64_t> bucketCounts() const;

    /** Returns the sum of all values. */
    double sum() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace flamingo
