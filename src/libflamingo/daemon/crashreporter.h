#pragma once

#include "base/monotonictimer.h"
#include "daemon/controlloopproxy.h"
#include "forward/crashsuspects.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>

namespace flamingo {

/** Counters of a CrashReporter since its creation, for metrics. */
struct CrashReportCounters {
    std::uint64_t m_examined = 0; // endpoints on which was decided after lost calls
    std::uint64_t m_reported = 0; // crashes reported to the control VMs
    std::uint64_t m_cleared = 0; // quarantines refuted by successes
};

/**
 * Carries out the watch of endpoints that lost calls: tests their ports, and tells the control VMs about requests that
 * crash endpoints.
 *
 * Thread safety: none; all calls on the thread of the io_context. The references outlive the object.
 */
class CrashReporter {
public:
    CrashReporter(boost::asio::io_context& io, ForwardState& state, const ControlLoopProxy& control);

    /** Does what is due. Called whenever the watch may have changed; it calls itself later as long as needed. */
    void update();

    const CrashReportCounters& counters() const { return m_counters; }

private:
    void testPort(const LostEndpoint& endpoint);
    void handleVerdict(const EndpointVerdict& verdict);
    void report(const CrashReport& report);
    void clear(Fingerprint key);
    void submit(CommandBody body, std::function<void(bool quarantined)> applied);
    void setTimer();

    boost::asio::io_context& m_io;
    ForwardState& m_state;
    const ControlLoopProxy& m_control;
    MonotonicTimer m_timer;
    MonotonicTime m_timerAt = MonotonicTime::max(); // expiry of m_timer; max() if it is not set
    CrashReportCounters m_counters;
};

} // namespace flamingo
