#pragma once

#include "base/reason.h"
#include "link/linkconfig.h"
#include "link/linklimits.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace flamingo::detail {

/** Sets no-delay, keep-alive and user-timeout options, so that an unreachable peer is detected soon. */
void applySocketOptions(boost::asio::ip::tcp::socket& socket, const LinkLimits& limits);

/**
 * One WebSocket connection of a server or client. Enforces the limits, sends pings and reports its end exactly once.
 *
 * Thread safety: none; used on the thread of its io_context. Owned by its server or client. When the owner destroys
 * it, the socket is reset; afterwards only the report of an end that already happened can follow.
 */
class LinkChannel : public std::enable_shared_from_this<LinkChannel> {
public:
    struct Events {
        std::function<void(std::string remote, std::string path)> m_opened;
        std::function<void(std::string message)> m_message;
        std::function<void(Reason)> m_closed; // exactly once, never from within a method
    };

    LinkChannel(boost::asio::io_context& io, const LinkLimits& limits, Events events);
    ~LinkChannel();
    LinkChannel(const LinkChannel&) = delete;
    LinkChannel& operator=(const LinkChannel&) = delete;

    /**
     * Sets the connection of the link. Keeps the websocketpp endpoint alive as long as the connection, which refers to
     * its random number generator.
     */
    void attach(LinkConnection::ptr connection, const std::shared_ptr<void>& webSocketEndpoint);

    /** Starts the opening handshake. Precondition: attach() was called, and the socket is connected. */
    void start();

    /** Queues one binary message. Returns false and sets the reason if that fails; see LinkClient::send(). */
    bool send(const std::string& message, Reason& reason);

    /** Ends the link; a close frame is sent after the queued messages. */
    void close(Reason reason);

    /** Ends the link at once and discards the queued messages. */
    void abort(Reason reason);

    bool isOpen() const { return m_open && !m_finished; }
    /** Returns whether the opening handshake has succeeded, also after the end of the link. */
    bool wasOpened() const { return m_open; }
    bool isFinished() const { return m_finished; }
    boost::asio::ip::tcp::socket& socket() { return m_connection->get_raw_socket(); }

private:
    void onOpen();
    void onMessage(const LinkConnection::message_ptr& message);
    bool acceptsRequestPath();
    void scheduleTick();
    void onTick();
    bool isSilent();
    void resetSocket();
    void finish(Reason reason);
    Reason closeReason() const;

    boost::asio::io_context& m_io;
    const LinkLimits m_limits;
    Events m_events;
    boost::asio::steady_timer m_timer;
    LinkConnection::ptr m_connection;
    MonotonicTime m_lastReceived;
    MonotonicTime m_lastPing;
    bool m_open = false; // the opening handshake has succeeded; stays true after the end
    bool m_finished = false; // the link has ended; m_closed was called or is about to be
};

} // namespace flamingo::detail
