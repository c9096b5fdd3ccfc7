#pragma once

#include "base/time.h"

namespace flamingo {

/** Parameters of SlowStart. */
struct SlowStartSettings {
    double m_startShare = 0.1; // of the full load, for an endpoint that has just started or recovered
    Milliseconds m_duration { 5000 }; // until the full load without any answer
    double m_goodFactor = 1.5; // growth of the share with each answer in the usual time
    double m_slowFactor = 0.7; // decrease with an answer that took clearly longer than usual
    double m_failedFactor = 0.5; // decrease with a call that was refused or failed
    Milliseconds m_hold { 500 }; // time without growth after a decrease
    double m_slowRatio = 3.0; // an answer is slow if it took this multiple of the service's median
};

/** What the end of a call says about the load that an endpoint can bear. */
enum class LoadSignal {
    None,
    Good, // answered in the usual time
    Slow,
    Failed, // refused or failed
};

/**
 * Share of its full load that this VM gives to an endpoint which has just started or recovered.
 *
 * The share grows with time, faster with each good answer, and shrinks with each slow one or failure. Time alone keeps
 * an endpoint from staying idle where each of many VMs calls it rarely; answers keep all of them from flooding it,
 * since all see the same endpoint become slow. A plain value, used on one event loop.
 */
struct SlowStart {
    double m_share = 1.0; // as of m_at; 1 for the full load
    MonotonicTime m_at {};
    MonotonicTime m_heldUntil {}; // the share does not grow before
};

/** Begins with the start share. */
void beginSlowStart(SlowStart& slowStart, const SlowStartSettings& settings, MonotonicTime now);

/** Returns the share, above 0 and up to 1. Thread-safe. */
double slowStartShare(const SlowStart& slowStart, const SlowStartSettings& settings, MonotonicTime now);

/** Adjusts the share to the end of a call. Has no effect on an endpoint with its full load. */
void learnFromCall(SlowStart& slowStart, LoadSignal signal, const SlowStartSettings& settings, MonotonicTime now);

} // namespace flamingo
