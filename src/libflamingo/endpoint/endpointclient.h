#pragma once

#include "endpoint/callhandle.h"
#include "endpoint/endpointcall.h"
#include "endpoint/endpointclientsettings.h"
#include "endpoint/endpointcounters.h"
#include "endpoint/endpointlimits.h"
#include "endpoint/endpointprotocol.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace flamingo {

/**
 * HTTP/1.1 client with a pool of keep-alive connections for each endpoint.
 *
 * A request is sent at most once: it is never repeated after its first byte may have left this process.
 *
 * Thread safety: none. Every method, the destructor included, must be called on the thread that runs the io_context,
 * or while no thread runs it. Handlers run on that thread.
 */
class EndpointClient {
public:
    /** Creates a client without connections. The io_context must outlive the client. */
    explicit EndpointClient(boost::asio::io_context& context, const EndpointProtocol& protocol = snapshotProtocol(),
        const EndpointClientSettings& settings = {});

    /** Closes all connections at once. Handlers of unfinished calls are dropped without being called. */
    ~EndpointClient();

    EndpointClient(const EndpointClient&) = delete;
    EndpointClient& operator=(const EndpointClient&) = delete;

    /**
     * Starts a call and returns its handle. The handler must not be empty.
     *
     * The handler is called exactly once and never from within this or another method of the client. It may call any
     * method of the client. Calls beyond the connection limit of the endpoint are queued in order.
     */
    CallHandle start(EndpointCall call, EndpointReplyHandler handler);

    /**
     * Ends a call early and closes its connection. Does nothing for a finished or unknown call.
     *
     * The outcome is Cancelled, or NotSent if no byte of the request has been sent.
     */
    void cancel(CallHandle handle);

    /** Ends a call with the outcome NotSent if no byte of its request has been sent; otherwise does nothing. */
    void cancelUnsent(CallHandle handle);

    /** Sets the limits of an endpoint and closes idle connections above the new limit. No precondition. */
    void setLimits(const EndpointId& endpoint, const EndpointLimits& limits);

    /**
     * Opens connections before calls need them, until the endpoint has `count` of them or reaches its limit.
     *
     * A connection closed with a cancelled or timed-out call is replaced at once. The address must be an IP address.
     * Idempotent, so that it may be called at each change of state.
     */
    void preconnect(const EndpointId& endpoint, const std::string& address, std::uint16_t port, std::uint32_t count);

    /**
     * Opens one connection that no call has asked for, to see whether the endpoint can be reached.
     *
     * Returns false if the endpoint has as many connections as its limit allows. The address must be an IP address.
     */
    bool tryConnect(const EndpointId& endpoint, const std::string& address, std::uint16_t port);

    /** Closes the endpoint's idle connections at once and the others after their calls. No precondition. */
    void removeEndpoint(const EndpointId& endpoint);

    /** Returns the connection counts of one endpoint; all zero if it is unknown. No precondition. */
    EndpointConnections connections(const EndpointId& endpoint) const;

    /** Returns the counters. The reference is valid for the lifetime of the client. */
    const EndpointClientCounters& counters() const;

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace flamingo
