#include "routing/admission.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace flamingo {

namespace {

// Relative increase of the baseline execution time per window. It makes a lasting slowdown of the service
// the new baseline within some minutes.
constexpr double baselineDrift = 0.002;

const CallerClass& otherClass()
{
    static const CallerClass other("other");
    return other;
}

bool isActive(const Admission& admission, const ClassLoad& load, MonotonicTime now)
{
    return load.m_inFlight > 0 || now - load.m_lastArrival < admission.m_settings.m_classIdleTime;
}

CallerClass countedClass(Admission& admission, const CallerClass& callerClass, MonotonicTime now)
{
    auto& classes = admission.m_classes;
    if (classes.count(callerClass) > 0 || callerClass == otherClass())
        return callerClass;
    if (classes.size() + 1 < admission.m_settings.m_maxClasses)
        return callerClass;
    // Replaces a class that is idle and has the default weight.
    const auto idle = std::find_if(classes.begin(), classes.end(), [&](const auto& entry) {
        return entry.first != otherClass() && entry.second.m_weight == 1.0 && !isActive(admission, entry.second, now);
    });
    if (idle == classes.end())
        return otherClass();
    classes.erase(idle);
    return callerClass;
}

bool hasCapacity(const Admission& admission, const ClassLoad& own, MonotonicTime now)
{
    double weights = 0.0;
    for (const auto& [name, load] : admission.m_classes) {
        if (isActive(admission, load, now))
            weights += load.m_weight;
    }
    const auto shareOf = [&](const ClassLoad& load) { return admission.m_limit * load.m_weight / weights; };
    // A class gets its share even while another class exceeds its own.
    if (own.m_inFlight < std::max(1.0, std::floor(shareOf(own))))
        return true;
    double reserved = 0.0;
    for (const auto& [name, load] : admission.m_classes) {
        if (&load != &own && isActive(admission, load, now))
            reserved += std::max(0.0, shareOf(load) - double(load.m_inFlight));
    }
    return double(admission.m_inFlight) + reserved + 1.0 <= admission.m_limit;
}

void adaptLimit(Admission& admission, MonotonicTime now)
{
    const AdmissionSettings& settings = admission.m_settings;
    if (now - admission.m_windowStart < settings.m_window || admission.m_samples < settings.m_samplesPerWindow)
        return;
    const double wait = admission.m_waitSum / admission.m_samples;
    const double elapsed = admission.m_elapsedSum / admission.m_samples;
    const bool hasBaseline = admission.m_baselineElapsed > 0.0;
    const bool slow = hasBaseline && elapsed > admission.m_baselineElapsed * settings.m_latencyFactor;
    if (wait > double(settings.m_targetWait.count()) || slow)
        admission.m_limit *= settings.m_decreaseFactor;
    else if (admission.m_peakInFlight >= 0.8 * admission.m_limit)
        admission.m_limit += std::max(1.0, admission.m_limit * settings.m_increaseFraction);
    admission.m_limit = std::clamp(admission.m_limit, settings.m_minLimit, settings.m_maxLimit);
    admission.m_baselineElapsed
        = hasBaseline ? std::min(elapsed, admission.m_baselineElapsed * (1.0 + baselineDrift)) : elapsed;
    admission.m_windowStart = now;
    admission.m_samples = 0;
    admission.m_waitSum = 0.0;
    admission.m_elapsedSum = 0.0;
    admission.m_peakInFlight = admission.m_inFlight;
}

} // namespace

Admission makeAdmission(const AdmissionSettings& settings)
{
    Admission admission;
    admission.m_settings = settings;
    admission.m_limit = settings.m_initialLimit;
    return admission;
}

void setClassWeight(Admission& admission, const CallerClass& callerClass, double weight)
{
    admission.m_classes[callerClass].m_weight = weight;
}

std::optional<CallerClass> admitExecution(
    Admission& admission, const CallerClass& callerClass, MonotonicTime now, Reason& reason)
{
    const CallerClass counted = countedClass(admission, callerClass, now);
    ClassLoad& load = admission.m_classes[counted];
    load.m_lastArrival = now;
    if (admission.m_windowStart == MonotonicTime {})
        admission.m_windowStart = now;
    if (!hasCapacity(admission, load, now)) {
        ++load.m_refused;
        reason.m_code = ResultCode::Overloaded;
        reason.m_text = "the service is at its limit of " + std::to_string(static_cast<int>(admission.m_limit))
            + " executions; caller class \"" + counted.value() + "\" runs " + std::to_string(load.m_inFlight);
        return std::nullopt;
    }
    ++load.m_inFlight;
    ++load.m_admitted;
    ++admission.m_inFlight;
    admission.m_peakInFlight = std::max(admission.m_peakInFlight, admission.m_inFlight);
    return counted;
}

void endExecution(
    Admission& admission, const CallerClass& countedIn, Microseconds wait, Microseconds elapsed, MonotonicTime now)
{
    const auto position = admission.m_classes.find(countedIn);
    if (position != admission.m_classes.end() && position->second.m_inFlight > 0)
        --position->second.m_inFlight;
    if (admission.m_inFlight > 0)
        --admission.m_inFlight;
    ++admission.m_samples;
    admission.m_waitSum += double(wait.count());
    admission.m_elapsedSum += double(elapsed.count());
    adaptLimit(admission, now);
}

} // namespace flamingo
