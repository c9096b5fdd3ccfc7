#include "routing/slowstart.h"

#include <algorithm>

namespace flamingo {

namespace {

void setShare(SlowStart& slowStart, double share, const SlowStartSettings& settings, MonotonicTime now)
{
    slowStart.m_share = std::clamp(share, settings.m_startShare, 1.0);
    slowStart.m_at = now;
}

void decrease(SlowStart& slowStart, double factor, const SlowStartSettings& settings, MonotonicTime now)
{
    setShare(slowStart, slowStartShare(slowStart, settings, now) * factor, settings, now);
    slowStart.m_heldUntil = now + settings.m_hold;
}

} // namespace

void beginSlowStart(SlowStart& slowStart, const SlowStartSettings& settings, MonotonicTime now)
{
    setShare(slowStart, settings.m_startShare, settings, now);
    slowStart.m_heldUntil = now;
}

double slowStartShare(const SlowStart& slowStart, const SlowStartSettings& settings, MonotonicTime now)
{
    if (slowStart.m_share >= 1.0 || settings.m_duration.count() <= 0)
        return 1.0;
    const MonotonicTime since = std::max(slowStart.m_at, slowStart.m_heldUntil);
    const std::chrono::duration<double> age = std::max(MonotonicClock::duration::zero(), now - since);
    const double grown = (1.0 - settings.m_startShare) * (age / std::chrono::duration<double>(settings.m_duration));
    return std::min(1.0, slowStart.m_share + grown);
}

void learnFromCall(SlowStart& slowStart, LoadSignal signal, const SlowStartSettings& settings, MonotonicTime now)
{
    if (slowStartShare(slowStart, settings, now) >= 1.0)
        return;
    switch (signal) {
    case LoadSignal::None:
        break;
    case LoadSignal::Good:
        // During a hold, calls that were sent before the decrease are still answered.
        if (now >= slowStart.m_heldUntil)
            setShare(slowStart, slowStartShare(slowStart, settings, now) * settings.m_goodFactor, settings, now);
        break;
    case LoadSignal::Slow:
        decrease(slowStart, settings.m_slowFactor, settings, now);
        break;
    case LoadSignal::Failed:
        decrease(slowStart, settings.m_failedFactor, settings, now);
        break;
    }
}

} // namespace flamingo
