#include "daemon/controlapi.h"

#include "base/log.h"
#include "consensus/consensusmember.h"
#include "control/controlservice.h"
#include "link/socketaddress.h"
#include "routes/routevalidation.h"

namespace flamingo {

namespace {

// A configuration with a thousand routes of a hundred shards each takes about 1.5 MB.
constexpr std::uint64_t maxBodyBytes = 4ULL * 1024 * 1024;

} // namespace

ControlApi::ControlApi(boost::asio::io_context& io, const ControlProtocol& protocol, ControlService& service,
    const ConsensusMember& member)
    : m_protocol(protocol)
    , m_service(service)
    , m_member(member)
    , m_endpoints(service)
    , m_server(io, [this](const ExchangePtr& exchange) { handle(exchange); })
{
    CallerLimits limits;
    limits.m_bodyBytes = maxBodyBytes;
    m_server.setLimits(limits);
}

bool ControlApi::start(const SocketAddress& address, Reason& reason)
{
    m_address = address;
    return m_server.start(address, reason);
}

void ControlApi::tick(MonotonicTime now) { m_endpoints.tick(now); }

void ControlApi::stopAccepting() { m_server.stopAccepting(); }

void ControlApi::handle(const ExchangePtr& exchange)
{
    Reason reason;
    auto call = m_protocol.m_read(exchange->request(), reason);
    if (!call) {
        FLAMINGO_LOG(Warning, "call refused", { "target", exchange->request().m_target },
            { "code", std::to_string(static_cast<int>(reason.m_code)) }, { "reason", reason.m_text });
        answer(*exchange, reason.m_code, reason.m_text);
        return;
    }
    if (!m_member.readyToServe()) {
        answer(*exchange, leaderApi().empty() ? ResultCode::ControlUnavailable : ResultCode::NotLeader,
            "this VM is not the control leader");
        return;
    }
    std::visit([&](auto& fields) { handle(exchange, fields); }, *call);
}

void ControlApi::handle(const ExchangePtr& exchange, const EndpointHeartbeat& heartbeat)
{
    handleEndpoint(exchange, heartbeat);
}

void ControlApi::handle(const ExchangePtr& exchange, const EndpointDeparture& departure)
{
    handleEndpoint(exchange, departure);
}

void ControlApi::handleEndpoint(const ExchangePtr& exchange, const EndpointMessage& message)
{
    m_endpoints.handle(
        message,
        [this, exchange](ResultCode code, const std::string& text) {
            answer(*exchange, code, code == ResultCode::Ok ? std::string() : text);
        },
        monotonicNow());
}

void ControlApi::handle(const ExchangePtr& exchange, RoutesUpload& upload)
{
    const ConfigurationVersion version = upload.m_configuration.m_header.m_version;
    Reason reason;
    if (!validateRoutes(upload.m_configuration, reason)) {
        FLAMINGO_LOG(Warning, "routes refused", { "version", std::to_string(version.value()) },
            { "code", std::to_string(static_cast<int>(reason.m_code)) }, { "reason", reason.m_text });
        answer(*exchange, reason.m_code, reason.m_text);
        return;
    }
    Command command;
    command.m_body = ReplaceRoutes { std::move(upload.m_configuration), std::move(upload.m_document) };
    m_service.submit(std::move(command), [this, exchange, version](const CommandResult& result) {
        FLAMINGO_LOG(Info, "route replacement handled", { "version", std::to_string(version.value()) },
            { "code", std::to_string(static_cast<int>(result.m_code)) },
            { "revision", std::to_string(result.m_revision.value()) }, { "result", result.m_text });
        answer(*exchange, result.m_code, result.m_text);
    });
}

void ControlApi::handle(const ExchangePtr& exchange, const RoutesRead&)
{
    m_service.confirmRead(
        [this, exchange](bool confirmed) {
            const ControlState& state = m_service.state();
            const ConfigurationVersion version = state.m_published.m_routeHeader.m_version;
            FLAMINGO_LOG(Info, "routes read", { "version", std::to_string(version.value()) },
                { "confirmed", confirmed ? "yes" : "no" });
            if (!confirmed) {
                answer(*exchange, ResultCode::ControlUnavailable,
                    "no majority has confirmed that this VM is the control leader");
                return;
            }
            if (version.value() == 0) {
                answer(*exchange, ResultCode::NoConfiguration, "no routes have been uploaded yet");
                return;
            }
            ControlAnswer result;
            result.m_document = state.m_routesDocument;
            exchange->respond(m_protocol.m_write(exchange->request(), result));
        },
        monotonicNow());
}

void ControlApi::handle(const ExchangePtr& exchange, const EvacuationOrder& order)
{
    Command command;
    command.m_body = SetEvacuation { order.m_dataCentre, order.m_evacuated };
    m_service.submit(std::move(command), [this, exchange, order](const CommandResult& result) {
        FLAMINGO_LOG(Info, order.m_evacuated ? "evacuation started" : "evacuation ended",
            { "data_centre", order.m_dataCentre.value() }, { "code", std::to_string(static_cast<int>(result.m_code)) },
            { "revision", std::to_string(result.m_revision.value()) }, { "result", result.m_text });
        answer(*exchange, result.m_code, result.m_text);
    });
}

void ControlApi::answer(HttpExchange& exchange, ResultCode code, std::string text)
{
    ControlAnswer result;
    result.m_code = code;
    result.m_text = std::move(text);
    result.m_leaderApi = leaderApi();
    exchange.respond(m_protocol.m_write(exchange.request(), result));
}

std::string ControlApi::leaderApi() const
{
    // All control VMs of a site serve this interface on the same port.
    const auto address = parseSocketAddress(m_member.leaderAddress());
    if (!address)
        return {};
    return SocketAddress { address->address().to_string(), m_address.m_port }.text();
}

} // namespace flamingo
