#pragma once

#include "base/reason.h"
#include "link/linkconfig.h"
#include "link/linklimits.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace flamingo::detail {

/** Applies the options that make a dead peer or path visible soon. */
void applySocketOptions(boost::asio::ip::tcp::socket& socket, const LinkLimits& limits);

/**
 * One WebSocket connection of either role: bounds, pings and the single report of its end.
 *
 * Thread safety: none; used on the loop of its io_context. Owned by its server or client. Once the
 * owner drops it, the socket is reset; only the report of an end that already happened can follow.
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
     * Takes the connection whose socket will carry the link. The endpoint object is kept alive as
     * long as the connection, which refers to its random number generator.
     */
    void attach(LinkConnection::ptr connection, const std::shared_ptr<void>& endpoint);

    /** Starts the opening handshake. Precondition: attached, and the socket is connected. */
    void start();

    bool send(const std::string& message, Reason& reason);

    /** Ends the link with a close frame after the queued messages. */
    void close(Reason reason);

    /** Ends the link at once and drops what is queued. */
    void abort(Reason reason);

    bool isOpen() const { return m_open && !m_finished; }
    bool wasOpened() const { return m_open; }
    bool isFinished() const { return m_finished; }
    boost::asio::ip::tcp::socket& socket() { return m_connection->get_raw_socket(); }

private:
    void onOpen();
    void onMessage(const LinkConnection::message_ptr& message);
    bool acceptsPath();
    void scheduleTick();
    void onTick();
    bool isSilent();
    void resetSocket();
    void finish(Reason reason);
    Reason connectionReason() const;

    boost::asio::io_context& m_io;
    const LinkLimits m_limits;
    Events m_events;
    boost::asio::steady_timer m_timer;
    LinkConnection::ptr m_connection;
    MonotonicTime m_lastHeard;
    MonotonicTime m_lastPing;
    bool m_open = false;
    bool m_finished = false;
};

} // namespace flamingo::detail
