#pragma once

#include "base/time.h"
#include "endpoint/callhandle.h"
#include "endpoint/endpointcall.h"
#include "endpoint/endpointprotocol.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <memory>
#include <string>

namespace flamingo::detail {

struct ConnectionPool;

class HttpConnectionOwner;

/**
 * One HTTP/1.1 connection to an endpoint that carries one request at a time.
 *
 * Not thread-safe; belongs to the thread of its io_context.
 */
class HttpConnection : public std::enable_shared_from_this<HttpConnection> {
public:
    enum class State {
        Connecting,
        Idle,
        Busy, // waits for the answer to a request
        Closing, // closed on this side, not yet by the peer
        Closed,
    };

    enum class SendResult {
        Started, // at least one byte may have been sent
        NothingSent, // the socket refused the first byte; the connection is closed
    };

    /** Data that the owner attaches to a connection. */
    struct OwnerData {
        ConnectionPool* m_pool = nullptr;
        CallHandle m_call; // the call that uses the connection, or that it is being opened for
        bool m_reserved = false; // opened for m_call alone
        bool m_reusable = true; // false after the endpoint's address changed or a dedicated call used the connection
        MonotonicTime m_lastActiveAt; // time of the last answer, or of the connect if there was none
    };

    /** Creates a closed connection. Events go to the owner until detach(). */
    static std::shared_ptr<HttpConnection> create(
        boost::asio::io_context& context, const EndpointProtocol& protocol, HttpConnectionOwner& owner);

    virtual ~HttpConnection() = default;

    /** Starts to connect; connected() or closed() follows. Must be called first, and only once. */
    virtual void connect(const std::string& address, std::uint16_t port, Milliseconds timeout) = 0;

    /**
     * Writes a request and moves the body out of the argument if sending has started. The state must be Idle.
     *
     * An answer with another request id is late or duplicate: it is dropped, and the connection waits for the next
     * one. The bytes of the answer are added to held, unless it is null.
     */
    virtual SendResult send(
        const RequestId& request, std::string header, std::string& body, std::shared_ptr<HeldBytes> held)
        = 0;

    /**
     * Shuts down sending and waits for the peer to close, at most for the timeout; closed() follows.
     *
     * The state must be Idle or Busy.
     */
    virtual void close(Milliseconds timeout) = 0;

    /** Closes the socket at once; no further event follows. */
    virtual void detach() = 0;

    /** Returns the state of the connection. */
    State state() const { return m_state; }

    /** Returns the data that the owner attached. */
    OwnerData& ownerData() { return m_ownerData; }

protected:
    State m_state = State::Closed;
    OwnerData m_ownerData;
};

} // namespace flamingo::detail
