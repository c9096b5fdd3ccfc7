#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "routing/endpointratelimit.h"
#include "routing/slowstart.h"

#include <cstdint>
#include <optional>

namespace flamingo {

struct RoutingSettings;

/** Statistics of one endpoint at this daemon. Not thread-safe: each instance belongs to one event loop. */
struct EndpointStats {
    std::uint64_t m_generation = 0; // distinguishes successive endpoints at the same position
    std::uint32_t m_inFlight = 0; // calls in flight from this daemon
    double m_latency = 0.0; // moving average, µs; 0 before the first sample
    MonotonicTime m_latencyAt {}; // time of the newest latency sample
    MonotonicTime m_answeredAt {}; // when the endpoint last answered a call, with any status
    double m_failureRate = 0.0; // moving average of the calls that were refused or failed, 0 to 1
    MonotonicTime m_failureRateAt {}; // time of the newest call counted in m_failureRate
    MonotonicTime m_lastProgressAt {}; // when a call last ended, or the first call in flight was sent
    std::uint32_t m_consecutiveFailures = 0;
    std::uint32_t m_consecutiveLostRaces = 0;
    std::uint32_t m_consecutiveAnswers = 0;
    MonotonicTime m_refusedUntil {}; // until then the endpoint wants no call, as its last refusal named
    EndpointRateLimit m_rateLimit;
    double m_reportedLoad = 0.0; // 0 to 1, reported by the endpoint; used only to break ties
    SlowStart m_slowStart; // of a new or readmitted endpoint

    bool m_ejected = false;
    MonotonicTime m_ejectedAt {};
    MonotonicTime m_ejectedUntil {}; // from then on one probe may be sent
    Milliseconds m_ejection { 0 }; // duration of the last ejection
    bool m_probing = false; // a probe is in flight
    bool m_refusesConnections = false; // as of the last failure; a failed probe would then send nothing

    std::uint32_t m_suspectCalls = 0; // calls in flight whose request has crashed another endpoint
};

/** Result of a call as it counts in the statistics of the endpoint. */
enum class CallVerdict {
    Answered, // a complete, matching and well-formed answer
    Shed, // the endpoint refused the request without running it
    NotReached, // no connection could be opened, so nothing was sent
    Disconnected, // the connection was lost after the request was sent
    Failed, // a timeout, an error status or an unusable answer
    LostRace, // cancelled because a later attempt answered first
    Abandoned, // cancelled for a reason that says nothing about the endpoint
};

/** Counts a call as in flight. Returns whether it is the probe of an ejected endpoint. */
bool recordCallSent(EndpointStats& stats, MonotonicTime now);

/** Describes how a call ended. */
struct CallEnd {
    CallVerdict m_verdict = CallVerdict::Abandoned;
    Microseconds m_elapsed { 0 };
    Milliseconds m_retryAfter { 0 }; // for how long the endpoint wants no call, as its answer names; 0 if it names none
    std::optional<double> m_load; // 0 to 1, reported in the answer
    bool m_suspect = false; // the call is counted in m_suspectCalls
    bool m_probe = false; // result of recordCallSent()
    LoadSignal m_loadSignal = LoadSignal::None;
};

/** Ends a call that recordCallSent() counted: updates averages, and ejects or readmits the endpoint. */
void recordCallEnded(EndpointStats& stats, const CallEnd& end, const RoutingSettings& settings, MonotonicTime now);

/** Returns the share, above 0 and up to 1, that a new or readmitted endpoint gets of its full load. */
double loadShare(const EndpointStats& stats, const RoutingSettings& settings, MonotonicTime now);

} // namespace flamingo
