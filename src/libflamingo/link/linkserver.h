#pragma once

#include "base/reason.h"
#include "link/linkid.h"
#include "link/linklimits.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace flamingo {

/** Callbacks of a LinkServer, called on the thread of its io_context. They must not throw and may be empty. */
struct LinkServerCallbacks {
    std::function<void(LinkId, std::string remote, std::string path)> m_opened;
    std::function<void(LinkId, std::string message)> m_message;
    // Called exactly once for each opened link, also after LinkServer::close(), but not after stop().
    std::function<void(LinkId, Reason)> m_closed;
};

/**
 * Accepts WebSocket links from other daemons.
 *
 * Thread safety: none. All methods must be called on the thread that runs the io_context, or while no thread runs it.
 * The io_context must outlive the server. Methods may be called from the callbacks, which are never called from within
 * a method.
 */
class LinkServer {
public:
    /** Creates a server for the IP address and port; start() opens the port. With port 0, the system chooses one. */
    LinkServer(boost::asio::io_context& io, std::string address, std::uint16_t port, LinkServerCallbacks callbacks,
        LinkLimits limits = {});
    /** Stops the server. */
    ~LinkServer();
    LinkServer(const LinkServer&) = delete;
    LinkServer& operator=(const LinkServer&) = delete;

    /** Listens and starts to accept links. Returns false and sets the reason if that fails. Call only once. */
    bool start(Reason& reason);

    /** Returns the port in use, or the given one before start(). */
    std::uint16_t port() const;

    /** Returns the number of open links. */
    std::size_t linkCount() const;

    /**
     * Queues one binary message.
     *
     * Returns false and sets lastReason() if the link is not open, the message is too large or the queue is full. A
     * full queue also closes the link.
     */
    bool send(LinkId link, const std::string& message);

    /** Closes one link after its queued messages. Has no effect on an unknown link. */
    void close(LinkId link, const std::string& text = "closed by this daemon");

    /** Stops listening and closes all links. No callback is called afterwards. */
    void stop();

    /** Returns why the last send() failed. */
    const Reason& lastReason() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace flamingo
