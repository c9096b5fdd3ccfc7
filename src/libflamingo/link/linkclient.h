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

/** Callbacks of a LinkClient, called on the thread of its io_context. They must not throw and may be empty. */
struct LinkClientCallbacks {
    std::function<void()> m_opened;
    std::function<void(std::string message)> m_message;
    // Called exactly once for each connect() that returned true, unless the client is destroyed first.
    std::function<void(Reason)> m_closed;
};

/**
 * One outgoing WebSocket link to another daemon. It can be connected again after it has closed.
 *
 * Thread safety: none. All methods must be called on the thread that runs the io_context, or while no thread runs it.
 * The io_context must outlive the client. Methods may be called from the callbacks, which are never called from within
 * a method. The client may be destroyed in a callback.
 */
class LinkClient {
public:
    LinkClient(boost::asio::io_context& io, LinkClientCallbacks callbacks, LinkLimits limits = {});
    /** Closes the link without a callback. */
    ~LinkClient();
    LinkClient(const LinkClient&) = delete;
    LinkClient& operator=(const LinkClient&) = delete;

    /**
     * Starts to connect to "ip:port" ("[ip]:port" for IPv6) with a request path from linkpath.h.
     *
     * Precondition: state() is Closed. Returns false and sets lastReason() if it is not, or if the address is not
     * numeric. No callback follows then.
     */
    bool connect(const std::string& address, const std::string& path);

    /**
     * Queues one binary message.
     *
     * Returns false and sets lastReason() if the link is not open, the message is too large or the queue is full. A
     * full queue also closes the link.
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
