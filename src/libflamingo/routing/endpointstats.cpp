#include "routing/endpointstats.h"

#include "routing/routingsettings.h"

#include <algorithm>
#include <cmath>

namespace flamingo {

namespace {

void eject(EndpointStats& stats, const RoutingSettings& settings, MonotonicTime now)
{
    const Milliseconds doubled = stats.m_ejection * 2;
    stats.m_ejection = std::clamp(doubled, settings.m_initialEjection, settings.m_maxEjection);
    if (!stats.m_ejected)
        stats.m_ejectedAt = now;
    stats.m_ejected = true;
    stats.m_ejectedUntil = now + stats.m_ejection;
}

/** Returns the weight of the old value in a moving average; it decays with the age of that value. */
double historyWeight(double newestWeight, MonotonicTime since, const RoutingSettings& settings, MonotonicTime now)
{
    const double kept = 1.0 - newestWeight;
    if (settings.m_statsHalfLife.count() <= 0)
        return kept;
    const std::chrono::duration<double> age = now - since;
    return kept * std::exp2(-age / std::chrono::duration<double>(settings.m_statsHalfLife));
}

void updateLatency(EndpointStats& stats, Microseconds elapsed, const RoutingSettings& settings, MonotonicTime now)
{
    // Until the endpoint has its full load, its slow start alone limits what it gets. Slow answers of its start would
    // keep calls away for long after it has become as fast as the others.
    if (loadShare(stats, settings, now) < 1.0)
        return;
    const auto sample = static_cast<double>(elapsed.count());
    if (stats.m_latency <= 0.0)
        stats.m_latency = sample;
    else
        stats.m_latency = sample
            + historyWeight(settings.m_latencyWeight, stats.m_latencyAt, settings, now) * (stats.m_latency - sample);
    stats.m_latencyAt = now;
}

void updateFailureRate(EndpointStats& stats, CallVerdict verdict, const RoutingSettings& settings, MonotonicTime now)
{
    if (verdict == CallVerdict::Abandoned || verdict == CallVerdict::LostRace)
        return;
    const double sample = verdict == CallVerdict::Answered ? 0.0 : 1.0;
    stats.m_failureRate = sample
        + historyWeight(settings.m_failureRateWeight, stats.m_failureRateAt, settings, now)
            * (stats.m_failureRate - sample);
    stats.m_failureRateAt = now;
}

void recordAnswer(EndpointStats& stats, const CallEnd& end, const RoutingSettings& settings, MonotonicTime now)
{
    updateLatency(stats, end.m_elapsed, settings, now);
    stats.m_consecutiveFailures = 0;
    stats.m_consecutiveLostRaces = 0;
    ++stats.m_consecutiveAnswers;
    if (stats.m_ejected && end.m_probe) {
        stats.m_ejected = false;
        beginSlowStart(stats.m_slowStart, settings.m_slowStart, now);
        stats.m_consecutiveAnswers = 1;
    } else if (stats.m_consecutiveAnswers >= settings.m_answersToResetEjection) {
        stats.m_ejection = Milliseconds(0);
    }
}

// Ejects the endpoint when the threshold of consecutive failures is reached. Once it is ejected only a failed
// probe extends the ejection: calls that were in flight at the ejection give no new information.
void recordUnsuccessfulEnd(
    EndpointStats& stats, bool thresholdReached, bool wasProbe, const RoutingSettings& settings, MonotonicTime now)
{
    stats.m_consecutiveAnswers = 0;
    if (wasProbe || (thresholdReached && !stats.m_ejected))
        eject(stats, settings, now);
}

} // namespace

bool recordCallSent(EndpointStats& stats, MonotonicTime now)
{
    if (stats.m_inFlight == 0)
        stats.m_lastProgressAt = now;
    ++stats.m_inFlight;
    const bool probe = stats.m_ejected && !stats.m_probing;
    stats.m_probing = stats.m_probing || probe;
    return probe;
}

void recordCallEnded(EndpointStats& stats, const CallEnd& end, const RoutingSettings& settings, MonotonicTime now)
{
    if (stats.m_inFlight > 0)
        --stats.m_inFlight;
    stats.m_lastProgressAt = now;
    updateFailureRate(stats, end.m_verdict, settings, now);
    learnFromCall(stats.m_slowStart, end.m_loadSignal, settings.m_slowStart, now);
    if (end.m_suspect && stats.m_suspectCalls > 0)
        --stats.m_suspectCalls;
    if (end.m_load)
        stats.m_reportedLoad = std::clamp(*end.m_load, 0.0, 1.0);
    if (end.m_probe)
        stats.m_probing = false;
    stats.m_refusedUntil = std::max(stats.m_refusedUntil, now + end.m_retryAfter);
    switch (end.m_verdict) {
    case CallVerdict::Answered:
        recordAnswer(stats, end, settings, now);
        break;
    case CallVerdict::Shed:
        if (end.m_retryAfter.count() == 0)
            stats.m_refusedUntil = std::max(stats.m_refusedUntil, now + settings.m_defaultRetryAfter);
        break;
    case CallVerdict::NotReached:
    case CallVerdict::Disconnected:
        ++stats.m_consecutiveFailures;
        stats.m_refusesConnections = end.m_verdict == CallVerdict::NotReached;
        recordUnsuccessfulEnd(stats, true, end.m_probe, settings, now);
        break;
    case CallVerdict::Failed:
        ++stats.m_consecutiveFailures;
        stats.m_refusesConnections = false;
        updateLatency(stats, end.m_elapsed, settings, now);
        recordUnsuccessfulEnd(
            stats, stats.m_consecutiveFailures >= settings.m_failuresToEject, end.m_probe, settings, now);
        break;
    case CallVerdict::LostRace:
        // The time until the cancellation is a lower bound of the latency.
        updateLatency(stats, end.m_elapsed, settings, now);
        ++stats.m_consecutiveLostRaces;
        stats.m_refusesConnections = false;
        recordUnsuccessfulEnd(
            stats, stats.m_consecutiveLostRaces >= settings.m_lostRacesToEject, end.m_probe, settings, now);
        break;
    case CallVerdict::Abandoned:
        break;
    }
}

double loadShare(const EndpointStats& stats, const RoutingSettings& settings, MonotonicTime now)
{
    return slowStartShare(stats.m_slowStart, settings.m_slowStart, now);
}

} // namespace flamingo
