#pragma once

#include "base/ids.h"
#include "base/reason.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace flamingo {

/** Constants of Admission. */
struct AdmissionSettings {
    double m_startLimit = 64.0; // executions at the same time
    double m_leastLimit = 4.0;
    double m_greatestLimit = 20000.0;
    Milliseconds m_window { 100 }; // between changes of the limit
    std::uint32_t m_samplesPerWindow = 10;
    // Waiting for a free endpoint above this time means that a queue grows.
    Microseconds m_targetWait { 2000 };
    // Median execution time over the usual one above this factor means that endpoints queue.
    double m_latencyFactor = 2.0;
    double m_decrease = 0.9;
    double m_increase = 0.05; // of the limit, at least one execution
    std::size_t m_mostClasses = 16; // further caller classes share the class "other"
    Milliseconds m_classIdle { 1000 }; // a class without arrivals for this long has no share
    Milliseconds m_retryAfter { 50 }; // told to refused callers
};

/** Executions of one caller class. */
struct ClassLoad {
    double m_weight = 1.0;
    std::uint32_t m_inFlight = 0;
    MonotonicTime m_lastArrival {};
    std::uint64_t m_admitted = 0;
    std::uint64_t m_refused = 0;
};

/**
 * Bounds the executions of one service that run at the same time.
 *
 * The limit shrinks when executions wait for endpoints or take clearly longer than usual, and grows
 * while it is used up without that. Each active caller class has a share of the limit by weight, and
 * uses what the others leave. A plain value for one event loop.
 */
struct Admission {
    AdmissionSettings m_settings;
    double m_limit = 64.0;
    std::uint32_t m_inFlight = 0;
    std::map<CallerClass, ClassLoad> m_classes;

    // Samples of the current window.
    MonotonicTime m_windowStart {};
    std::uint32_t m_samples = 0;
    std::uint32_t m_peakInFlight = 0;
    double m_waitSum = 0.0; // µs
    double m_elapsedSum = 0.0; // µs
    double m_usualElapsed = 0.0; // µs; lowest mean seen, which drifts upwards slowly
};

/** Returns an admission with the settings' start limit. */
Admission makeAdmission(const AdmissionSettings& settings);

/** Sets the weight of a caller class; classes without one weigh 1. Precondition: weight above 0. */
void setClassWeight(Admission& admission, const CallerClass& callerClass, double weight);

/**
 * Admits an execution and returns the class it is counted in, or nothing with the reason.
 *
 * A refused execution has not run. Each admitted one must be ended by endExecution().
 */
std::optional<CallerClass> admitExecution(
    Admission& admission, const CallerClass& callerClass, MonotonicTime now, Reason& reason);

/** Ends an admitted execution: the longest wait for a free endpoint and the whole time it took. */
void endExecution(
    Admission& admission, const CallerClass& countedIn, Microseconds wait, Microseconds elapsed, MonotonicTime now);

} // namespace flamingo
