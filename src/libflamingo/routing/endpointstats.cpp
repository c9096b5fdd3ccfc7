#include "routing/endpointstats.h"

#include "routing/routingsettings.h"

#include <algorithm>
#include <cmath>

namespace flamingo {

namespace {

void eject(EndpointStats& stats, const RoutingSettings& settings, MonotonicTime now)
{
    const Milliseconds doubled = stats.m_ejection * 2;
    stats.m_ejection = std::clamp(doubled, settings.m_firstEjection, settings.m_longestEjection);
    if (!stats.m_ejected)
        stats.m_ejectedAt = now;
    stats.m_ejected = true;
    stats.m_ejectedUntil = now + stats.m_ejection;
}

/** Returns the weight of what was seen before; it fades with the time that has passed since. */
double keptWeight(double newestWeight, MonotonicTime since, const RoutingSettings& settings, MonotonicTime now)
{
    const double kept = 1.0 - newestWeight;
    if (settings.m_memoryHalfLife.count() <= 0)
        return kept;
    const std::chrono::duration<double> age = now - since;
    return kept * std::exp2(-age / std::chrono::duration<double>(settings.m_memoryHalfLife));
}

void updateLatency(EndpointStats& stats, Microseconds elapsed, const RoutingSettings& settings, MonotonicTime now)
{

    const auto sample = static_cast<double>(elapsed.count());
    if (stats.m_latency <= 0.0)
        stats.m_latency = sample;
    else
        stats.m_latency = sample
            + keptWeight(settings.m_latencyWeight, stats.m_latencyAt, settings, now) * (stats.m_latency - sample);
    stats.m_latencyAt = now;
}

void updateBadShare(EndpointStats& stats, CallVerdict verdict, const RoutingSettings& settings, MonotonicTime now)
{
    if (verdict == CallVerdict::Abandoned || verdict == CallVerdict::LostRace)
        return;
    const double sample = verdict == CallVerdict::Answered ? 0.0 : 1.0;
    stats.m_badShare = sample
        + keptWeight(settings.m_badShareWeight, stats.m_badShareAt, settings, now) * (stats.m_badShare - sample);
    stats.m_badShareAt = now;
}

void noteAnswer(EndpointStats& stats, const CallEnd& end, const RoutingSettings& settings, MonotonicTime now)
{
    updateLatency(stats, end.m_elapsed, settings, now);
    stats.m_failuresInRow = 0;
    stats.m_lostRacesInRow = 0;
    ++stats.m_answersInRow;
    if (stats.m_ejected && end.m_probe) {
        stats.m_ejected = false;
        stats.m_rampStart = now;
        stats.m_answersInRow = 1;
    } else if (stats.m_answersInRow >= settings.m_answersToForgive) {
        stats.m_ejection = Milliseconds(0);
    }
}

// Ejects after enough bad ends in a row. Of an ejected endpoint only the probe counts: calls that were
// in flight at the ejection say nothing new.
void noteBadEnd(EndpointStats& stats, bool enough, bool wasProbe, const RoutingSettings& settings, MonotonicTime now)
{
    stats.m_answersInRow = 0;
    if (wasProbe || (enough && !stats.m_ejected))
        eject(stats, settings, now);
}

} // namespace

bool noteCallSent(EndpointStats& stats, MonotonicTime now)
{
    if (stats.m_inFlight == 0)
        stats.m_progressAt = now;
    ++stats.m_inFlight;
    const bool probe = stats.m_ejected && !stats.m_probing;
    stats.m_probing = stats.m_probing || probe;
    return probe;
}

void noteCallEnded(EndpointStats& stats, const CallEnd& end, const RoutingSettings& settings, MonotonicTime now)
{
    if (stats.m_inFlight > 0)
        --stats.m_inFlight;
    stats.m_progressAt = now;
    updateBadShare(stats, end.m_verdict, settings, now);
    if (end.m_suspect && stats.m_suspects > 0)
        --stats.m_suspects;
    if (end.m_load)
        stats.m_reportedLoad = std::clamp(*end.m_load, 0.0, 1.0);
    if (end.m_probe)
        stats.m_probing = false;
    switch (end.m_verdict) {
    case CallVerdict::Answered:
        noteAnswer(stats, end, settings, now);
        break;
    case CallVerdict::Shed: {
        const Milliseconds wait = end.m_retryAfter.count() > 0 ? end.m_retryAfter : settings.m_defaultRefusal;
        stats.m_refusedUntil = std::max(stats.m_refusedUntil, now + std::min(wait, settings.m_longestRefusal));
        break;
    }
    case CallVerdict::NotReached:
    case CallVerdict::Disconnected:
        ++stats.m_failuresInRow;
        stats.m_refusesConnections = end.m_verdict == CallVerdict::NotReached;
        noteBadEnd(stats, true, end.m_probe, settings, now);
        break;
    case CallVerdict::Failed:
        ++stats.m_failuresInRow;
        stats.m_refusesConnections = false;
        updateLatency(stats, end.m_elapsed, settings, now);
        noteBadEnd(stats, stats.m_failuresInRow >= settings.m_failuresToEject, end.m_probe, settings, now);
        break;
    case CallVerdict::LostRace:
        // The time until the cancellation is a lower bound of the latency.
        updateLatency(stats, end.m_elapsed, settings, now);
        ++stats.m_lostRacesInRow;
        stats.m_refusesConnections = false;
        noteBadEnd(stats, stats.m_lostRacesInRow >= settings.m_lostRacesToEject, end.m_probe, settings, now);
        break;
    case CallVerdict::Abandoned:
        break;
    }
}

double rampShare(const EndpointStats& stats, const RoutingSettings& settings, MonotonicTime now)
{
    if (stats.m_rampStart == MonotonicTime {} || settings.m_ramp.count() <= 0)
        return 1.0;
    const double age = std::chrono::duration<double>(now - stats.m_rampStart).count();
    const double length = std::chrono::duration<double>(settings.m_ramp).count();
    return std::clamp(settings.m_rampStart + (1.0 - settings.m_rampStart) * age / length, settings.m_rampStart, 1.0);
}

} // namespace flamingo
