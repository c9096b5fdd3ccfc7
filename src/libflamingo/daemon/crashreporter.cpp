#include "daemon/crashreporter.h"

#include "base/log.h"
#include "endpoint/porttest.h"
#include "language/statement.h"

#include <boost/asio/post.hpp>

#include <utility>

namespace flamingo {

namespace {

// An endpoint that has ended refuses a connection within a round trip.
constexpr Milliseconds portTestTimeout { 300 };

const char* fateName(EndpointFate fate)
{
    switch (fate) {
    case EndpointFate::Undecided:
        return "undecided";
    case EndpointFate::Ended:
        return "ended";
    case EndpointFate::Running:
        return "running";
    }
    return "unknown";
}

} // namespace

CrashReporter::CrashReporter(boost::asio::io_context& io, ForwardState& state, const ControlLoopProxy& control)
    : m_io(io)
    , m_state(state)
    , m_control(control)
    , m_timer(io)
{
}

void CrashReporter::update()
{
    for (const Fingerprint key : std::exchange(m_state.m_refutedQuarantines, {}))
        clear(key);
    CrashWatch& watch = m_state.m_crashWatch;
    if (watch.m_endpoints.empty() && watch.m_verdicts.empty())
        return;
    const MonotonicTime now = monotonicNow();
    if (nextWatchAt(watch) <= now)
        updateCrashWatch(watch, m_state.m_routing.m_table, now);
    for (const LostEndpoint& endpoint : takeDuePortTests(watch, now))
        testPort(endpoint);
    for (const EndpointVerdict& verdict : std::exchange(watch.m_verdicts, {}))
        handleVerdict(verdict);
    setTimer();
}

void CrashReporter::testPort(const LostEndpoint& endpoint)
{
    const EndpointLifetime lifetime { endpoint.m_id, endpoint.m_incarnation };
    flamingo::testPort(m_io, endpoint.m_address, endpoint.m_port, portTestTimeout, [this, lifetime](PortState state) {
        recordPortTest(m_state.m_crashWatch, lifetime, state, m_state.m_reachability.m_cutOff, monotonicNow());
        update();
    });
}

void CrashReporter::handleVerdict(const EndpointVerdict& verdict)
{
    const WatchedEndpoint& endpoint = verdict.m_endpoint;
    // Calls without an answer in time are many, and most of their endpoints are merely slow.
    if (endpoint.m_tests == 0 && verdict.m_fate != EndpointFate::Ended)
        return;
    ++m_counters.m_examined;
    const MonotonicTime now = monotonicNow();
    const auto age = std::chrono::duration_cast<Milliseconds>(now - endpoint.m_lostAt);
    FLAMINGO_LOG(Info, "endpoint examined after a lost connection", { "endpoint", endpoint.m_endpoint.m_id.value() },
        { "incarnation", std::to_string(endpoint.m_endpoint.m_incarnation.value()) },
        { "fate", fateName(verdict.m_fate) }, { "evidence", verdict.m_evidence },
        { "port_tests", std::to_string(endpoint.m_tests) }, { "age_ms", std::to_string(age.count()) },
        { "requests", std::to_string(endpoint.m_suspicions.size()) });
    for (const CrashReport& crash : reportCrashes(m_state, verdict, now)) {
        FLAMINGO_LOG(Warning, "endpoint ended while it ran a request", { "request_id", crash.m_request.value() },
            { "endpoint", crash.m_death.m_endpoint.value() }, { "service", crash.m_death.m_service.value() },
            { "fingerprint", printFingerprint(crash.m_fingerprint) });
        report(crash);
    }
}

void CrashReporter::report(const CrashReport& report)
{
    ++m_counters.m_reported;
    submit(report.m_death, [this, report](bool quarantined) {
        FLAMINGO_LOG(Info, "crash report applied", { "request_id", report.m_request.value() },
            { "endpoint", report.m_death.m_endpoint.value() },
            { "fingerprint", printFingerprint(report.m_fingerprint) },
            { "key", printFingerprint(report.m_death.m_suspects.front()) },
            { "quarantined", quarantined ? "yes" : "no" });
        for (const CrashReport& next : handleReportApplied(m_state, report, quarantined, monotonicNow()))
            this->report(next);
    });
}

void CrashReporter::clear(Fingerprint key)
{
    FLAMINGO_LOG(Info, "quarantined request known as harmless", { "key", printFingerprint(key) });
    ++m_counters.m_cleared;
    submit(ClearSuspect { key }, nullptr);
}

void CrashReporter::submit(CommandBody body, std::function<void(bool quarantined)> applied)
{
    Command command;
    command.m_body = std::move(body);
    m_control.m_submit(std::move(command), crashReportTimeout,
        [&io = m_io, applied = std::move(applied)](const CommandResult& result) {
            if (result.m_code == ResultCode::Ok && applied)
                boost::asio::post(io, [applied, quarantined = !result.m_text.empty()] { applied(quarantined); });
        });
}

void CrashReporter::setTimer()
{
    const MonotonicTime at = nextWatchAt(m_state.m_crashWatch).value_or(MonotonicTime::max());
    if (at == m_timerAt)
        return;
    m_timerAt = at;
    m_timer.cancel();
    if (at == MonotonicTime::max())
        return;
    m_timer.expires_at(at);
    m_timer.async_wait([this, at](const boost::system::error_code& error) {
        if (error || m_timerAt != at)
            return;
        m_timerAt = MonotonicTime::max();
        update();
    });
}

} // namespace flamingo
