#include "link/linkclient.h"

#include "link/linkchannel.h"
#include "link/socketaddress.h"

#include <boost/asio/io_context.hpp>
#include <websocketpp/client.hpp>

namespace flamingo {

namespace {
using boost::system::error_code;
using WebSocketEndpoint = websocketpp::client<detail::LinkConfig>;

bool isConnectedToItself(const boost::asio::ip::tcp::socket& socket)
{
    error_code error;
    return socket.local_endpoint(error) == socket.remote_endpoint(error) && !error;
}
} // namespace

class LinkClient::Impl : public std::enable_shared_from_this<LinkClient::Impl> {
public:
    Impl(boost::asio::io_context& io, LinkClientCallbacks callbacks, const LinkLimits& limits)
        : m_io(io)
        , m_callbacks(std::move(callbacks))
        , m_limits(limits)
        , m_connectTimer(io)
    {
    }

    bool connect(const std::string& address, const std::string& path)
    {
        if (state() != LinkState::Closed) {
            m_lastReason = Reason { ResultCode::InvalidField, "link is already open or connecting" };
            return false;
        }
        const auto remote = parseSocketAddress(address);
        if (!remote) {
            m_lastReason
                = Reason { ResultCode::InvalidField, "\"" + address + "\" is not a numeric IP address and port" };
            return false;
        }
        try {
            createChannel(address, path);
        } catch (const std::exception& error) {
            m_channel.reset();
            m_lastReason
                = Reason { ResultCode::ControlUnavailable, std::string("cannot create the link: ") + error.what() };
            return false;
        }
        startConnect(*remote);
        return true;
    }

    bool send(const std::string& message)
    {
        if (m_channel)
            return m_channel->send(message, m_lastReason);
        m_lastReason = Reason { ResultCode::ControlUnavailable, "link is not open" };
        return false;
    }

    void close(const std::string& text)
    {
        if (m_channel)
            m_channel->close(Reason { ResultCode::Ok, text });
    }

    LinkState state() const
    {
        if (!m_channel || m_channel->isFinished())
            return LinkState::Closed;
        return m_channel->isOpen() ? LinkState::Open : LinkState::Connecting;
    }

    const Reason& lastReason() const { return m_lastReason; }

    void shutDown()
    {
        m_connectTimer.cancel();
        const auto channel = std::move(m_channel);
        if (channel)
            channel->close(Reason { ResultCode::Ok, "link is no longer needed" });
    }

private:
    void createChannel(const std::string& address, const std::string& path)
    {
        const auto webSocketEndpoint = std::make_shared<WebSocketEndpoint>();
        websocketpp::lib::error_code error;
        webSocketEndpoint->init_asio(&m_io, error);
        if (error)
            throw websocketpp::exception(error);
        const auto connection = webSocketEndpoint->get_connection("ws://" + address + path, error);
        if (error)
            throw websocketpp::exception(error);

        const std::weak_ptr<Impl> weak = weak_from_this();
        detail::LinkChannel::Events events;
        events.m_opened = [weak](const std::string&, const std::string&) {
            const auto self = weak.lock();
            if (self && self->m_callbacks.m_opened)
                self->m_callbacks.m_opened();
        };
        events.m_message = [weak](std::string message) {
            const auto self = weak.lock();
            if (self && self->m_callbacks.m_message)
                self->m_callbacks.m_message(std::move(message));
        };
        events.m_closed = [weak](Reason reason) {
            if (const auto self = weak.lock())
                self->onClosed(std::move(reason));
        };
        m_channel = std::make_shared<detail::LinkChannel>(m_io, m_limits, std::move(events));
        m_channel->attach(connection, webSocketEndpoint);
    }

    void startConnect(const boost::asio::ip::tcp::endpoint& remote)
    {
        const std::weak_ptr<Impl> weak = weak_from_this();
        const std::weak_ptr<detail::LinkChannel> weakChannel = m_channel;
        m_connectTimer.expires_after(m_limits.m_connectTimeout);
        m_connectTimer.async_wait([weakChannel, timeout = m_limits.m_connectTimeout](const error_code& error) {
            const auto channel = weakChannel.lock();
            if (channel && !error)
                channel->abort(Reason { ResultCode::ControlUnavailable,
                    "no connection within " + std::to_string(timeout.count()) + " ms" });
        });
        m_channel->socket().async_connect(remote, [weak, weakChannel](const error_code& error) {
            const auto self = weak.lock();
            const auto channel = weakChannel.lock();
            if (!self || !channel || channel->isFinished())
                return;
            self->m_connectTimer.cancel();
            if (error)
                channel->abort(Reason { ResultCode::ControlUnavailable, "connect failed: " + error.message() });
            // If the target port is in the ephemeral range and unused, the kernel may choose it as the source port too.
            // The socket then connects to itself.
            else if (isConnectedToItself(channel->socket()))
                channel->abort(
                    Reason { ResultCode::ControlUnavailable, "connect failed: nothing listens on the port" });
            else
                channel->start();
        });
    }

    void onClosed(Reason reason)
    {
        // connect() may already have replaced the channel that was closed.
        if (m_channel && m_channel->isFinished())
            m_channel.reset();
        m_lastReason = reason;
        if (m_callbacks.m_closed)
            m_callbacks.m_closed(std::move(reason));
    }

    boost::asio::io_context& m_io;
    const LinkClientCallbacks m_callbacks;
    const LinkLimits m_limits;
    boost::asio::steady_timer m_connectTimer;
    std::shared_ptr<detail::LinkChannel> m_channel;
    Reason m_lastReason;
};

LinkClient::LinkClient(boost::asio::io_context& io, LinkClientCallbacks callbacks, LinkLimits limits)
    : m_impl(std::make_shared<Impl>(io, std::move(callbacks), limits))
{
}

LinkClient::~LinkClient() { m_impl->shutDown(); }

bool LinkClient::connect(const std::string& address, const std::string& path) { return m_impl->connect(address, path); }

bool LinkClient::send(const std::string& message) { return m_impl->send(message); }

void LinkClient::close(const std::string& text) { m_impl->close(text); }

LinkState LinkClient::state() const { return m_impl->state(); }

const Reason& LinkClient::lastReason() const { return m_impl->lastReason(); }

} // namespace flamingo
