#include "forward/mergereserve.h"

#include <algorithm>

namespace flamingo {

namespace {

constexpr Microseconds minReserve { 3000 };
constexpr Microseconds maxReserve { 25000 };
// A longer delay comes from a VM or a link that was stalled, which no reserve covers.
constexpr Microseconds maxDelay { 50000 };
// One step up is as long as 24 steps down, so that the reserve settles where one delay in 25 exceeds it. The quantile
// is that high since a fan-out waits for several groups.
constexpr Microseconds increase { 480 };
constexpr Microseconds decrease { 20 };
// Largest part of the remaining time that the reserve may use.
constexpr double maxShare = 0.4;

} // namespace

void learnMergeDelay(MergeReserve& reserve, Microseconds delay)
{
    if (delay > maxDelay)
        return;
    const Microseconds next = delay > reserve.m_value ? reserve.m_value + increase : reserve.m_value - decrease;
    reserve.m_value = std::clamp(next, minReserve, maxReserve);
}

Milliseconds mergeReserveWithin(const MergeReserve& reserve, MonotonicClock::duration timeLeft)
{
    const std::chrono::duration<double, std::micro> limit(timeLeft * maxShare);
    const auto largest = std::max(minReserve, std::chrono::duration_cast<Microseconds>(limit));
    return std::chrono::ceil<Milliseconds>(std::min(reserve.m_value, largest));
}

} // namespace flamingo
