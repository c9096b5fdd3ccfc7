#include "routing/latencydistribution.h"

#include "routing/routingsettings.h"

#include <algorithm>
#include <cmath>

namespace flamingo {

namespace {

constexpr std::uint64_t subBuckets = 1U << LatencyDistribution::subBucketBits;
// Samples after which a cached quantile is computed again, so that the cost of a scan is shared by 64 samples.
constexpr std::uint32_t samplesPerCachedQuantile = 64;

std::size_t bucketOf(std::uint64_t microseconds)
{
    if (microseconds < subBuckets)
        return static_cast<std::size_t>(microseconds);
    const unsigned octave = 63U - static_cast<unsigned>(__builtin_clzll(microseconds));
    const unsigned shift = octave - LatencyDistribution::subBucketBits;
    const std::uint64_t sub = (microseconds >> shift) - subBuckets;
    const std::size_t bucket = ((shift + 1ULL) << LatencyDistribution::subBucketBits) + sub;
    return std::min<std::size_t>(bucket, LatencyDistribution::bucketCount - 1);
}

std::uint64_t upperEdge(std::size_t bucket)
{
    if (bucket < subBuckets)
        return bucket;
    const std::uint64_t shift = (bucket >> LatencyDistribution::subBucketBits) - 1;
    const std::uint64_t sub = bucket & (subBuckets - 1);
    return ((subBuckets + sub + 1) << shift) - 1;
}

void rotateWindows(LatencyDistribution& distribution, MonotonicTime now)
{
    if (distribution.m_windowStart == MonotonicTime {})
        distribution.m_windowStart = now;
    const auto age = now - distribution.m_windowStart;
    if (age < distribution.m_window)
        return;
    // After two windows without samples the old ones are outdated.
    const bool stale = age >= 2 * distribution.m_window;
    if (stale) {
        distribution.m_previous.fill(0);
        distribution.m_previousCount = 0;
    } else {
        distribution.m_previous = distribution.m_current;
        distribution.m_previousCount = distribution.m_currentCount;
    }
    distribution.m_current.fill(0);
    distribution.m_currentCount = 0;
    distribution.m_windowStart = now;
    distribution.m_cacheSamplesLeft = 0;
}

} // namespace

void addLatency(LatencyDistribution& distribution, Microseconds latency, MonotonicTime now)
{
    rotateWindows(distribution, now);
    const std::int64_t count = std::max<std::int64_t>(latency.count(), 0);
    ++distribution.m_current[bucketOf(static_cast<std::uint64_t>(count))];
    ++distribution.m_currentCount;
    if (distribution.m_cacheSamplesLeft > 0)
        --distribution.m_cacheSamplesLeft;
}

std::uint64_t latencySamples(const LatencyDistribution& distribution)
{
    return distribution.m_currentCount + distribution.m_previousCount;
}

std::optional<Microseconds> latencyQuantile(const LatencyDistribution& distribution, double fraction)
{
    if (distribution.m_cacheSamplesLeft > 0 && distribution.m_cachedQuantile == fraction)
        return distribution.m_cachedValue;
    const std::uint64_t total = latencySamples(distribution);
    if (total == 0)
        return std::nullopt;
    const auto rank = static_cast<std::uint64_t>(std::ceil(std::clamp(fraction, 0.0, 1.0) * double(total)));
    std::uint64_t seen = 0;
    std::size_t bucket = 0;
    for (; bucket + 1 < LatencyDistribution::bucketCount; ++bucket) {
        seen += distribution.m_current[bucket] + distribution.m_previous[bucket];
        if (seen >= std::max<std::uint64_t>(rank, 1))
            break;
    }
    distribution.m_cachedQuantile = fraction;
    distribution.m_cachedValue = Microseconds(static_cast<std::int64_t>(upperEdge(bucket)));
    distribution.m_cacheSamplesLeft = samplesPerCachedQuantile;
    return distribution.m_cachedValue;
}

Microseconds hedgeDelay(const LatencyDistribution& distribution, const RoutingSettings& settings)
{
    if (latencySamples(distribution) < settings.m_samplesForHedgeDelay)
        return std::max(settings.m_initialHedgeDelay, settings.m_minHedgeDelay);
    const auto quantile = latencyQuantile(distribution, settings.m_hedgeQuantile);
    return std::max(quantile.value_or(settings.m_initialHedgeDelay), settings.m_minHedgeDelay);
}

} // namespace flamingo
