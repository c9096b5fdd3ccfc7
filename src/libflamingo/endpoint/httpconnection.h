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
        Busy, // owes an answer
        Closing, // closed on this side, not yet by the peer
        Closed,
    };

    enum class SendResult {
        Started, // the first byte may have left
        NothingSent, // the socket refused the first byte; the connection is closed
    };

    /** What the owner notes about a connection. */
    struct Note {
        ConnectionPool* m_pool = nullptr;
        CallHandle m_call; // the call that it serves, or that it is opened for
        bool m_reserved = false; // opened for m_call alone
        bool m_reusable = true; // false once the address or the endpoint was given up
        MonotonicTime m_provenAt; // when it connected or answered last
    };

    /** Creates a closed connection. Events go to the owner until detach(). */
    static std::shared_ptr<HttpConnection> create(
        boost::asio::io_context& context, const EndpointProtocol& protocol, HttpConnectionOwner& owner);

    virtual ~HttpConnection() = default;

    /** Starts to connect; connected() or closed() follows. The state must be Closed and unused so far. */
    virtual void connect(const std::string& address, std::uint16_t port, Milliseconds timeout) = 0;

    /**
     * Writes a request and takes over the body if it has started. The state must be Idle.
     *
     * An answer that names another request is a late or extra one; it is dropped and the next one is awaited.
     */
    virtual SendResult send(const RequestId& request, std::string header, std::string& body) = 0;

    /**
     * Tells the peer that nothing follows and waits for its close, at most for the timeout; closed() follows.
     *
     * The state must be Idle or Busy.
     */
    virtual void close(Milliseconds timeout) = 0;

    /** Closes the socket at once; no further event follows. */
    virtual void detach() = 0;

    /** Returns what the connection is doing. */
    State state() const { return m_state; }

    /** Returns the owner's note. */
    Note& note() { return m_note; }

protected:
    State m_state = State::Closed;
    Note m_note;
};

} // namespace flamingo::detail
