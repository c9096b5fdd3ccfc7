#pragma once

#include "control/controlprotocol.h"
#include "control/endpointmessagehandler.h"
#include "http/httpserver.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace flamingo {

class ConsensusMember;
class ControlService;

/**
 * HTTP interface of a control VM for operators and for endpoints of routes.
 *
 * Only the leader carries out calls; the other control VMs refuse them and name the leader. A change is acknowledged
 * once a majority has stored it. A read is answered once a majority has confirmed, after the read arrived, that this
 * VM is the leader.
 *
 * Thread safety: none; all calls on the control loop. The references outlive the object.
 */
class ControlApi {
public:
    ControlApi(boost::asio::io_context& io, const ControlProtocol& protocol, ControlService& service,
        const ConsensusMember& member);

    /** Opens the port. Returns false and sets the reason if that fails. */
    bool start(const SocketAddress& address, Reason& reason);

    /** Resumes calls that wait for other ones; to be called every 20 to 50 ms. */
    void tick(MonotonicTime now);

    /** Closes the port; calls in flight are still answered. */
    void stopAccepting();

    /** Returns the totals of the HTTP server. */
    const HttpServerCounters& counters() const { return m_server.counters(); }

private:
    using ExchangePtr = std::shared_ptr<HttpExchange>;

    void handle(const ExchangePtr& exchange);
    void handle(const ExchangePtr& exchange, const EndpointHeartbeat& heartbeat);
    void handle(const ExchangePtr& exchange, const EndpointDeparture& departure);
    void handle(const ExchangePtr& exchange, RoutesUpload& upload);
    void handle(const ExchangePtr& exchange, const RoutesRead& read);
    void handle(const ExchangePtr& exchange, const EvacuationOrder& order);
    void handleEndpoint(const ExchangePtr& exchange, const EndpointMessage& message);
    void answer(HttpExchange& exchange, ResultCode code, std::string text = {});
    std::string leaderApi() const;

    const ControlProtocol& m_protocol;
    ControlService& m_service;
    const ConsensusMember& m_member;
    EndpointMessageHandler m_endpoints;
    SocketAddress m_address;
    HttpServer m_server;
};

} // namespace flamingo
