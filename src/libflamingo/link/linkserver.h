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

/** Events of a LinkServer, called on its loop. They must not throw. Unset ones are skipped. */
struct LinkServerCallbacks {
    std::function<void(LinkId, std::string remote, std::string path)> m_opened;
    std::function<void(LinkId, std::string message)> m_message;
    // Called exactly once for each opened link, also after LinkServer::close, but not after stop().
    std::function<void(LinkId, Reason)> m_closed;
};

/**
 * Accepts WebSocket links from other daemons.
 *
 * Thread safety: none. All methods are called on the thread that runs the io_context, or while no
 * thread runs it. The io_context outlives the server. Methods may be called from the callbacks, which
 * are never called from within a method.
 */
class LinkServer {
public:
    /** Prepares a server for an IP address and a port; port 0 lets the system choose one. Opens nothing. */
    LinkServer(boost::asio::io_context& io, std::string address, std::uint16_t port, LinkServerCallbacks callbacks,
        LinkLimits limits = {});
    /** Stops the server. */
    ~LinkServer();
    LinkServer(const LinkServer&) = delete;
    LinkServer& operator=(const LinkServer&) = delete;

    /** Opens the port and starts to accept links. Returns false and fills the reason if that fails. Called once. */
    bool start(Reason& reason);

    /** Returns the port in use, or the given one before start(). */
    std::uint16_t port() const;

    /** Returns the number of open links. */
    std::size_t linkCount() const;

    /**
     * Queues one binary message.
     *
     * Returns false and fills lastReason() if the link is not open, the message is too large or the
     * queue is full; a full queue also closes the link.
     */
    bool send(LinkId link, const std::string& message);

    /** Closes one link after its queued messages. Has no effect on an unknown link. */
    void close(LinkId link, const std::string& text = "closed by this daemon");

    /** Closes the port and all links. No callback is called afterwards. */
    void stop();

    /** Returns why the last send() failed. */
    const Reason& lastReason() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace flamingo
