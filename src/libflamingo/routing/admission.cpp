#include "routing/admission.h"

#include <algorithm>
#include <cmath>
#include <string>

namespace flamingo {

namespace {

// Share of the usual execution time that is forgotten per window, so that a lasting change of the
// service's speed becomes the new usual one within some minutes.
constexpr double usualDrift = 0.002;

const CallerClass& otherClass()
{
    static const CallerClass other("other");
    return other;
}

bool isActive(const Admission& admission, const ClassLoad& load, MonotonicTime now)
{
    return load.m_inFlight > 0 || now - load.m_lastArrival < admission.m_settings.m_classIdle;
}

CallerClass countedClass(Admission& admission, const CallerClass& callerClass, MonotonicTime now)
{
    auto& classes = admission.m_classes;
    if (classes.count(callerClass) > 0 || callerClass == otherClass())
        return callerClass;
    if (classes.size() + 1 < admission.m_settings.m_mostClasses)
        return callerClass;
    // Makes room by forgetting a class that is idle and has no weight of its own.
    const auto idle = std::find_if(classes.begin(), classes.end(), [&](const auto& entry) {
        return entry.first != otherClass() && entry.second.m_weight == 1.0 && !isActive(admission, entry.second, now);
    });
    if (idle == classes.end())
        return otherClass();
    classes.erase(idle);
    return callerClass;
}

bool hasRoom(const Admission& admission, const ClassLoad& own, MonotonicTime now)
{
    double weights = 0.0;
    for (const auto& [name, load] : admission.m_classes) {
        if (isActive(admission, load, now))
            weights += load.m_weight;
    }
    const auto shareOf = [&](const ClassLoad& load) { return admission.m_limit * load.m_weight / weights; };
    // The share is granted even while another class still uses more than its own.
    if (own.m_inFlight < std::max(1.0, std::floor(shareOf(own))))
        return true;
    double reserved = 0.0;
    for (const auto& [name, load] : admission.m_classes) {
        if (&load != &own && isActive(admission, load, now))
            reserved += std::max(0.0, shareOf(load) - double(load.m_inFlight));
    }
    return double(admission.m_inFlight) + reserved + 1.0 <= admission.m_limit;
}

void adapt(Admission& admission, MonotonicTime now)
{
    const AdmissionSettings& settings = admission.m_settings;
    if (now - admission.m_windowStart < settings.m_window || admission.m_samples < settings.m_samplesPerWindow)
        return;
    const double wait = admission.m_waitSum / admission.m_samples;
    const double elapsed = admission.m_elapsedSum / admission.m_samples;
    const bool knowsUsual = admission.m_usualElapsed > 0.0;
    const bool slow = knowsUsual && elapsed > admission.m_usualElapsed * settings.m_latencyFactor;
    if (wait > double(settings.m_targetWait.count()) || slow)
        admission.m_limit *= settings.m_decrease;
    else if (admission.m_peakInFlight >= 0.8 * admission.m_limit)
        admission.m_limit += std::max(1.0, admission.m_limit * settings.m_increase);
    admission.m_limit = std::clamp(admission.m_limit, settings.m_leastLimit, settings.m_greatestLimit);
    admission.m_usualElapsed = knowsUsual ? std::min(elapsed, admission.m_usualElapsed * (1.0 + usualDrift)) : elapsed;
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
    admission.m_limit = settings.m_startLimit;
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
    if (!hasRoom(admission, load, now)) {
        ++load.m_refused;
        reason.m_code = ResultCode::Overloaded;
        reason.m_text = "service is at its limit of " + std::to_string(static_cast<int>(admission.m_limit))
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
    adapt(admission, now);
}

} // namespace flamingo
