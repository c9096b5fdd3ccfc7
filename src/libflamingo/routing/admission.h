#pragma once

#include "base/ids.h"
#include "base/reason.h"
#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace flamingo {

/** Parameters of Admission. */
struct AdmissionSettings {
    double m_initialLimit = 64.0; // concurrent executions
    double m_minLimit = 4.0;
    double m_maxLimit = 20000.0;
    Milliseconds m_window { 100 }; // shortest time between changes of the limit
    std::uint32_t m_samplesPerWindow = 10; // least number of ended executions between changes of the limit
    // The limit shrinks when the mean wait for a free endpoint exceeds this time.
    Microseconds m_targetWait { 2000 };
    // The limit shrinks when the mean execution time exceeds the baseline by this factor.
    double m_latencyFactor = 2.0;
    double m_decreaseFactor = 0.9;
    double m_increaseFraction = 0.05; // of the limit, at least one execution
    std::size_t m_maxClasses = 16; // classes beyond this number are counted in the class "other"
    Milliseconds m_classIdleTime { 1000 }; // a class without arrivals or executions for this long has no share
    Milliseconds m_retryAfter { 50 }; // sent to refused callers
};

/** Running executions and counters of one caller class. */
struct ClassLoad {
    double m_weight = 1.0;
    std::uint32_t m_inFlight = 0;
    MonotonicTime m_lastArrival {};
    std::uint64_t m_admitted = 0;
    std::uint64_t m_refused = 0;
};

/**
 * Limits the concurrent executions of one service.
 *
 * The limit shrinks when executions wait for endpoints or take clearly longer than the baseline, and
 * grows while it is nearly reached without such delays. Each active caller class has a share of the
 * limit in proportion to its weight, and may also use shares that other classes leave unused. Not
 * thread-safe: each instance belongs to one event loop.
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
    double m_baselineElapsed = 0.0; // µs; lowest mean seen, slowly raised over time
};

/** Returns an Admission that starts with the initial limit of the settings. */
Admission makeAdmission(const AdmissionSettings& settings);

/** Sets the weight of a caller class; the default is 1. Precondition: the weight is above 0. */
void setClassWeight(Admission& admission, const CallerClass& callerClass, double weight);

/**
 * Admits an execution and returns the class it is counted in, or nullopt and sets the reason.
 *
 * A refused execution has not run. endExecution() must be called for each admitted one.
 */
std::optional<CallerClass> admitExecution(
    Admission& admission, const CallerClass& callerClass, MonotonicTime now, Reason& reason);

/** Ends an admitted execution, given its longest wait for a free endpoint and its total duration. */
void endExecution(
    Admission& admission, const CallerClass& countedIn, Microseconds wait, Microseconds elapsed, MonotonicTime now);

} // namespace flamingo
