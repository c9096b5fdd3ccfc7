#include "link/linkchannel.h"

#include "link/linkpath.h"
#include "link/socketaddress.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace flamingo::detail {

namespace {
using boost::system::error_code;

// Timer ticks per ping interval. A silent peer is detected at most one tick late.
constexpr int ticksPerPing = 4;

int wholeSeconds(Milliseconds time) { return static_cast<int>(std::max<std::int64_t>(1, time.count() / 1000)); }
} // namespace

void applySocketOptions(boost::asio::ip::tcp::socket& socket, const LinkLimits& limits)
{
    using boost::asio::detail::socket_option::integer;
    // Errors are ignored because pings also detect an unreachable peer.
    error_code ignored;
    socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    const int silence = wholeSeconds(limits.m_silenceTimeout);
    const int interval = wholeSeconds(limits.m_pingInterval);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPIDLE>(interval), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPINTVL>(interval), ignored);
    socket.set_option(integer<IPPROTO_TCP, TCP_KEEPCNT>(std::max(1, silence / interval)), ignored);
    socket.set_option(
        integer<IPPROTO_TCP, TCP_USER_TIMEOUT>(static_cast<int>(limits.m_silenceTimeout.count())), ignored);
}

LinkChannel::LinkChannel(boost::asio::io_context& io, const LinkLimits& limits, Events events)
    : m_io(io)
    , m_limits(limits)
    , m_events(std::move(events))
    , m_timer(io)
{
}

LinkChannel::~LinkChannel()
{
    if (!m_finished)
        resetSocket();
}

void LinkChannel::attach(LinkConnection::ptr connection, const std::shared_ptr<void>& webSocketEndpoint)
{
    m_connection = std::move(connection);
    m_connection->set_open_handshake_timeout(m_limits.m_handshakeTimeout.count());
    m_connection->set_close_handshake_timeout(m_limits.m_closeTimeout.count());
    m_connection->set_max_message_size(m_limits.m_maxMessageBytes);
    m_connection->set_max_http_body_size(LinkConfig::max_http_body_size);

    // The handlers hold weak references so that the connection does not keep the channel alive.
    const std::weak_ptr<LinkChannel> weak = weak_from_this();
    m_connection->set_validate_handler([weak, webSocketEndpoint](const websocketpp::connection_hdl&) {
        const auto self = weak.lock();
        return self && self->acceptsRequestPath();
    });
    m_connection->set_open_handler([weak](const websocketpp::connection_hdl&) {
        if (const auto self = weak.lock())
            self->onOpen();
    });
    m_connection->set_message_handler(
        [weak](const websocketpp::connection_hdl&, const LinkConnection::message_ptr& message) {
            if (const auto self = weak.lock())
                self->onMessage(message);
        });
    m_connection->set_ping_handler([weak](const websocketpp::connection_hdl&, const std::string&) {
        if (const auto self = weak.lock())
            self->m_lastReceived = monotonicNow();
        return true;
    });
    m_connection->set_pong_handler([weak](const websocketpp::connection_hdl&, const std::string&) {
        if (const auto self = weak.lock())
            self->m_lastReceived = monotonicNow();
    });
    const auto ended = [weak](const websocketpp::connection_hdl&) {
        if (const auto self = weak.lock())
            self->finish(self->closeReason());
    };
    m_connection->set_fail_handler(ended);
    m_connection->set_close_handler(ended);
}

void LinkChannel::start()
{
    applySocketOptions(socket(), m_limits);
    try {
        m_connection->start();
    } catch (const std::exception& error) {
        abort(Reason {
            ResultCode::ControlUnavailable, std::string("cannot start the opening handshake: ") + error.what() });
    }
}

bool LinkChannel::send(const std::string& message, Reason& reason)
{
    if (!isOpen()) {
        reason = Reason { ResultCode::ControlUnavailable, "link is not open" };
        return false;
    }
    if (message.size() > m_limits.m_maxMessageBytes) {
        reason = Reason { ResultCode::BodyTooLarge,
            "message of " + std::to_string(message.size()) + " bytes exceeds the limit of "
                + std::to_string(m_limits.m_maxMessageBytes) };
        return false;
    }
    // websocketpp does not count the batch that it is writing, which can be as large as the queue was when the write
    // began. Half of the limit for each keeps the sum within the limit.
    if (m_connection->get_buffered_amount() + message.size() > m_limits.m_maxQueuedBytes / 2) {
        reason = Reason { ResultCode::Overloaded, "outgoing queue is full: peer reads too slowly" };
        abort(reason);
        return false;
    }
    try {
        const auto error = m_connection->send(message, websocketpp::frame::opcode::binary);
        if (!error)
            return true;
        reason = Reason { ResultCode::ControlUnavailable, "send failed: " + error.message() };
    } catch (const std::exception& error) {
        reason = Reason { ResultCode::ControlUnavailable, std::string("send failed: ") + error.what() };
    }
    abort(reason);
    return false;
}

void LinkChannel::close(Reason reason)
{
    if (m_finished)
        return;
    if (!m_open) {
        abort(std::move(reason));
        return;
    }
    const auto code = reason.m_code == ResultCode::UnsupportedProtocol ? websocketpp::close::status::unsupported_data
                                                                       : websocketpp::close::status::going_away;
    const std::string text = reason.m_text;
    finish(std::move(reason));
    try {
        websocketpp::lib::error_code error;
        m_connection->close(code, text, error);
        if (error)
            resetSocket();
    } catch (const std::exception&) {
        resetSocket();
    }
}

void LinkChannel::abort(Reason reason)
{
    if (m_finished)
        return;
    finish(std::move(reason));
    resetSocket();
}

void LinkChannel::onOpen()
{
    if (m_finished)
        return;
    m_open = true;
    m_lastReceived = m_lastPing = monotonicNow();
    scheduleTick();
    error_code error;
    const auto remote = socket().remote_endpoint(error);
    m_events.m_opened(error ? std::string("unknown") : formatSocketAddress(remote), m_connection->get_resource());
}

void LinkChannel::onMessage(const LinkConnection::message_ptr& message)
{
    if (m_finished)
        return;
    if (message->get_opcode() != websocketpp::frame::opcode::binary) {
        close(Reason { ResultCode::UnsupportedProtocol, "peer sent a text frame; links carry binary messages only" });
        return;
    }
    m_lastReceived = monotonicNow();
    m_events.m_message(std::move(message->get_raw_payload()));
}

bool LinkChannel::acceptsRequestPath()
{
    const std::string& path = m_connection->get_resource();
    if (path == peerLinkPath || path == entryLinkPath)
        return !m_finished;
    m_connection->set_status(websocketpp::http::status_code::not_found);
    return false;
}

void LinkChannel::scheduleTick()
{
    m_timer.expires_after(m_limits.m_pingInterval / ticksPerPing);
    m_timer.async_wait([weak = weak_from_this()](const error_code& error) {
        const auto self = weak.lock();
        if (self && !error)
            self->onTick();
    });
}

void LinkChannel::onTick()
{
    if (m_finished)
        return;
    if (isSilent()) {
        abort(Reason { ResultCode::ControlUnavailable,
            "peer was silent for " + std::to_string(m_limits.m_silenceTimeout.count()) + " ms" });
        return;
    }
    const MonotonicTime now = monotonicNow();
    if (now - m_lastPing >= m_limits.m_pingInterval) {
        m_lastPing = now;
        try {
            websocketpp::lib::error_code ignored; // after a failed ping, the silence timeout ends the link
            m_connection->ping("", ignored);
        } catch (const std::exception&) {
            abort(Reason { ResultCode::ControlUnavailable, "sending a ping failed" });
            return;
        }
    }
    scheduleTick();
}

bool LinkChannel::isSilent()
{
    if (monotonicNow() - m_lastReceived < m_limits.m_silenceTimeout)
        return false;
    // The io_context may have been blocked, for example by a slow disk, or a large message may still be arriving. The
    // kernel knows when the last data arrived.
    tcp_info info {};
    socklen_t size = sizeof(info);
    if (getsockopt(socket().native_handle(), IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return true;
    return Milliseconds(info.tcpi_last_data_recv) >= m_limits.m_silenceTimeout;
}

void LinkChannel::resetSocket()
{
    if (!m_connection)
        return;
    // Linger 0 also discards data in the send buffer of the kernel, for a peer that does not read.
    error_code ignored;
    socket().set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket().close(ignored);
}

void LinkChannel::finish(Reason reason)
{
    if (m_finished)
        return;
    m_finished = true;
    m_timer.cancel();
    boost::asio::post(m_io, [self = shared_from_this(), reason = std::move(reason)]() mutable {
        self->m_events.m_closed(std::move(reason));
    });
}

Reason LinkChannel::closeReason() const
{
    namespace close = websocketpp::close;
    const auto local = m_connection->get_local_close_code();
    if (local == close::status::message_too_big)
        return Reason { ResultCode::BodyTooLarge, "peer sent a message larger than the size limit" };
    if (local == close::status::protocol_error || local == close::status::invalid_payload)
        return Reason { ResultCode::UnsupportedProtocol, "peer violated the WebSocket protocol" };
    const auto remote = m_connection->get_remote_close_code();
    if (close::status::reserved(remote) || remote == close::status::blank || remote == close::status::abnormal_close)
        return Reason { ResultCode::ControlUnavailable,
            (m_open ? "link lost: " : "handshake failed: ") + m_connection->get_ec().message() };
    return Reason { ResultCode::ControlUnavailable, "closed by the peer: " + m_connection->get_remote_close_reason() };
}

} // namespace flamingo::detail
