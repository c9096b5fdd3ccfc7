#pragma once

#include "base/time.h"

#include <array>
#include <cstdint>
#include <optional>

namespace flamingo {

/**
 * Histogram of latencies over the current and the previous time window.
 *
 * Bucket widths grow by about 6%, so a quantile is accurate to about 6%. Not thread-safe: each instance belongs
 * to one event loop.
 */
struct LatencyDistribution {
    static constexpr unsigned subBucketBits = 4;
    static constexpr unsigned octaves = 28; // up to 268 s
    static constexpr unsigned bucketCount = (octaves + 1) << subBucketBits;

    std::array<std::uint32_t, bucketCount> m_current {};
    std::array<std::uint32_t, bucketCount> m_previous {};
    std::uint64_t m_currentCount = 0;
    std::uint64_t m_previousCount = 0;
    MonotonicTime m_windowStart {};
    Milliseconds m_window { 10000 };

    // Computing a quantile scans all buckets, so the last result is reused for some samples.
    mutable double m_cachedQuantile = -1.0;
    mutable std::optional<Microseconds> m_cachedValue;
    mutable std::uint32_t m_cacheSamplesLeft = 0;
};

/** Adds one latency. Precondition: now is not before that of the previous call. */
void addLatency(LatencyDistribution& distribution, Microseconds latency, MonotonicTime now);

/** Returns the latency quantile for the fraction, or nullopt without samples. */
std::optional<Microseconds> latencyQuantile(const LatencyDistribution& distribution, double fraction);

/** Returns the number of samples in both windows. */
std::uint64_t latencySamples(const LatencyDistribution& distribution);

struct RoutingSettings;

/**
 * Returns how long an attempt may run before a hedge is due.
 *
 * The delay is a quantile of the service's latency with a lower bound, or the initial delay until there are
 * enough samples.
 */
Microseconds hedgeDelay(const LatencyDistribution& distribution, const RoutingSettings& settings);

} // namespace flamingo
