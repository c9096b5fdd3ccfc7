#pragma once

#include "base/reason.h"
#include "link/linklimits.h"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace flamingo {

enum class LinkState {
    Closed,
    Connecting, // TCP connect or opening handshake under way
    Open,
};

/** Events of a LinkClient, called on its loop. They must not throw. Unset ones are skipped. */
struct LinkClientCallbacks {
    std::function<void()> m_opened;
    std::function<void(std::string message)> m_message;
    // Called exactly once for each successful call of connect(), unless the client is destroyed first.
    std::function<void(Reason)> m_closed;
};

/**
 * One outgoing WebSocket link to another daemon, which can be connected again after it closed.
 *
 * Thread safety: none. All methods are called on the thread that runs the io_context, or while no
 * thread runs it. The io_context outlives the client. Methods may be called from the callbacks, which
 * are never called from within a method. The client may be destroyed in a callback.
 */
class LinkClient {
public:
    LinkClient(boost::asio::io_context& io, LinkClientCallbacks callbacks, LinkLimits limits = {});
    /** Drops the link without a callback. */
    ~LinkClient();
    LinkClient(const LinkClient&) = delete;
    LinkClient& operator=(const LinkClient&) = delete;

    /**
     * Starts to connect to "ip:port" (or "[ip]:port" for IPv6) with a path from linkpath.h.
     *
     * Precondition: state() is Closed. Returns false and fills lastReason() if it is not, or if the
     * address is not numeric; no callback follows then.
     */
    bool connect(const std::string& address, const std::string& path);

    /**
     * Queues one binary message.
     *
     * Returns false and fills lastReason() if the link is not open, the message is too large or the
     * queue is full; a full queue also closes the link.
     */
    bool send(const std::string& message);

    /** Closes the link after its queued messages. state() is Closed at once. */
    void close(const std::string& text = "closed by this daemon");

    /** Returns the state of the link. */
    LinkState state() const;

    /** Returns why the last connect() or send() failed, or why the link was closed. */
    const Reason& lastReason() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace flamingo
