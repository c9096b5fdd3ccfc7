#include "daemon/crashreporter.h"

#include "base/log.h"

#include <boost/asio/post.hpp>

namespace flamingo {

namespace {

// An endpoint that has ended refuses a connection within a round trip.
constexpr Milliseconds portTestTimeout { 300 };
constexpr Milliseconds commandTimeout { 5000 };

const char* stateName(PortState state)
{
    switch (state) {
    case PortState::Accepting:
        return "accepting";
    case PortState::Refusing:
        return "refusing";
    case PortState::Silent:
        return "silent";
    }
    return "unknown";
}

} // namespace

CrashReporter::CrashReporter(boost::asio::io_context& io, const ControlLoopProxy& control)
    : m_io(io)
    , m_control(control)
{
}

void CrashReporter::examine(const LostEndpoint& endpoint, std::function<void(bool ended)> handler)
{
    const std::pair<EndpointId, Incarnation> lifetime(endpoint.m_id, endpoint.m_incarnation);
    const auto [examination, isNew] = m_examinations.try_emplace(lifetime);
    examination->second.push_back(std::move(handler));
    if (!isNew)
        return;
    ++m_counters.m_examined;
    testPort(m_io, endpoint.m_address, endpoint.m_port, portTestTimeout, [this, lifetime](PortState state) {
        FLAMINGO_LOG(Info, "endpoint examined after a lost connection", { "endpoint", lifetime.first.value() },
            { "port", stateName(state) });
        const auto handlers = m_examinations.extract(lifetime);
        for (const auto& waiting : handlers.mapped())
            waiting(state == PortState::Refusing);
    });
}

void CrashReporter::report(ReportDeath report, std::function<void()> applied)
{
    ++m_counters.m_reported;
    submit(std::move(report), std::move(applied));
}

void CrashReporter::clear(Fingerprint fingerprint)
{
    ++m_counters.m_cleared;
    submit(ClearSuspect { fingerprint }, nullptr);
}

void CrashReporter::submit(CommandBody body, std::function<void()> applied)
{
    Command command;
    command.m_body = std::move(body);
    m_control.m_submit(
        std::move(command), commandTimeout, [&io = m_io, applied = std::move(applied)](const CommandResult& result) {
            if (result.m_code == ResultCode::Ok && applied)
                boost::asio::post(io, applied);
        });
}

} // namespace flamingo
