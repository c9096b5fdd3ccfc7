#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <optional>

namespace flamingo {

struct RoutingSettings;

/** What this daemon has seen of one endpoint. A plain value for one event loop. */
struct EndpointStats {
    std::uint64_t m_generation = 0; // tells successive endpoints at one position apart
    std::uint32_t m_inFlight = 0; // calls of this daemon
    double m_latency = 0.0; // moving average, µs; 0 before the first sample
    MonotonicTime m_latencyAt {}; // of the newest sample
    double m_badShare = 0.0; // moving average of the calls that were refused or failed, 0 to 1
    MonotonicTime m_badShareAt {}; // of the newest call in it
    MonotonicTime m_progressAt {}; // since when calls are in flight without any of them ending
    std::uint32_t m_failuresInRow = 0;
    std::uint32_t m_lostRacesInRow = 0;
    std::uint32_t m_answersInRow = 0;
    MonotonicTime m_refusedUntil {}; // from the retry time of a shed answer
    double m_reportedLoad = 0.0; // the endpoint's own report; breaks ties only
    MonotonicTime m_rampStart {}; // of a new or readmitted endpoint; the epoch for a warm one

    bool m_ejected = false;
    MonotonicTime m_ejectedAt {};
    MonotonicTime m_ejectedUntil {}; // then one probe may be sent
    Milliseconds m_ejection { 0 }; // length of the last ejection
    bool m_probing = false; // a probe is in flight
    bool m_refusesConnections = false; // a probe that fails would not be sent at all

    // Requests in flight here that have already crashed another endpoint.
    std::uint32_t m_suspects = 0;
};

/** How a call ended, as far as the endpoint's standing is concerned. */
enum class CallVerdict {
    Answered, // a whole, matching, well-formed answer
    Shed, // the endpoint refused before running
    NotReached, // no connection, so nothing was sent
    Disconnected, // the connection was lost after sending
    Failed, // timed out, an error status, or an answer that cannot be used
    LostRace, // cancelled because a later attempt answered first
    Abandoned, // cancelled for a reason that says nothing about the endpoint
};

/** Counts a call as in flight. Returns whether it is the probe of an ejected endpoint. */
bool noteCallSent(EndpointStats& stats, MonotonicTime now);

/** What ended a call. */
struct CallEnd {
    CallVerdict m_verdict = CallVerdict::Abandoned;
    Microseconds m_elapsed { 0 };
    Milliseconds m_retryAfter { 0 }; // of a shed answer
    std::optional<double> m_load; // the endpoint's report, when there is an answer
    bool m_suspect = false; // the call was counted in m_suspects
    bool m_probe = false; // as noteCallSent() said
};

/** Ends a call that noteCallSent() counted: updates averages, ejection and readmission. */
void noteCallEnded(EndpointStats& stats, const CallEnd& end, const RoutingSettings& settings, MonotonicTime now);

/** Returns the share, above 0 and up to 1, that a new or readmitted endpoint gets of its full load. */
double rampShare(const EndpointStats& stats, const RoutingSettings& settings, MonotonicTime now);

} // namespace flamingo
