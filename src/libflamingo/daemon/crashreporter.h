#pragma once

#include "daemon/controlloopproxy.h"
#include "endpoint/porttest.h"
#include "forward/lostendpoint.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <utility>
#include <vector>

namespace flamingo {

/** Counters of a CrashReporter since its creation, for metrics. */
struct CrashReportCounters {
    std::uint64_t m_examined = 0; // endpoints that ended a connection and were looked at
    std::uint64_t m_reported = 0; // crashes reported to the control VMs
    std::uint64_t m_cleared = 0; // suspects that succeeded later
};

/**
 * Finds out whether endpoints have ended, and tells the control VMs about requests that crash endpoints.
 *
 * Thread safety: none; all calls on the thread of the io_context. The references outlive the object.
 */
class CrashReporter {
public:
    CrashReporter(boost::asio::io_context& io, const ControlLoopProxy& control);

    /**
     * Tests whether the endpoint still listens, and calls the handler with the result: whether it has ended.
     *
     * An endpoint is tested once at a time, however many calls it has lost.
     */
    void examine(const LostEndpoint& endpoint, std::function<void(bool ended)> handler);

    /** Reports a crash. The handler is called once the control VMs have applied the report. */
    void report(ReportDeath report, std::function<void()> applied);

    /** Reports that a suspect request succeeded. */
    void clear(Fingerprint fingerprint);

    const CrashReportCounters& counters() const { return m_counters; }

private:
    void submit(CommandBody body, std::function<void()> applied);

    boost::asio::io_context& m_io;
    const ControlLoopProxy& m_control;
    std::map<std::pair<EndpointId, Incarnation>, std::vector<std::function<void(bool)>>> m_examinations;
    CrashReportCounters m_counters;
};

} // namespace flamingo
