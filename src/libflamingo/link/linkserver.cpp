#include "link/linkserver.h"

#include "link/linkchannel.h"
#include "link/socketaddress.h"

#include <boost/asio/io_context.hpp>
#include <websocketpp/server.hpp>

#include <unordered_map>

namespace flamingo {

namespace {
using boost::system::error_code;
using WebSocketEndpoint = websocketpp::server<detail::LinkConfig>;

// Wait after a failed accept. Without it, a process that has no file descriptors left would retry in a busy loop.
constexpr Milliseconds acceptRetryDelay { 100 };
} // namespace

class LinkServer::Impl : public std::enable_shared_from_this<LinkServer::Impl> {
public:
    Impl(boost::asio::io_context& io, std::string address, std::uint16_t port, LinkServerCallbacks callbacks,
        const LinkLimits& limits)
        : m_io(io)
        , m_address(std::move(address))
        , m_port(port)
        , m_callbacks(std::move(callbacks))
        , m_limits(limits)
        , m_acceptor(io)
        , m_retryTimer(io)
    {
    }

    bool start(Reason& reason)
    {
        try {
            m_webSocketEndpoint = std::make_shared<WebSocketEndpoint>();
            websocketpp::lib::error_code error;
            m_webSocketEndpoint->init_asio(&m_io, error);
            if (error)
                throw websocketpp::exception(error);
            const boost::asio::ip::tcp::endpoint local(boost::asio::ip::make_address(m_address), m_port);
            m_acceptor.open(local.protocol());
            m_acceptor.set_option(boost::asio::socket_base::reuse_address(true));
            m_acceptor.bind(local);
            m_acceptor.listen();
            m_port = m_acceptor.local_endpoint().port();
        } catch (const std::exception& error) {
            error_code ignored;
            m_acceptor.close(ignored);
            reason = Reason { ResultCode::InvalidSettings,
                "cannot listen for links on " + m_address + " port " + std::to_string(m_port) + ": " + error.what() };
            return false;
        }
        accept();
        return true;
    }

    bool send(LinkId link, const std::string& message)
    {
        const auto found = m_channels.find(link);
        if (found != m_channels.end())
            return found->second->send(message, m_lastReason);
        m_lastReason = Reason { ResultCode::ControlUnavailable, "link is not open" };
        return false;
    }

    void close(LinkId link, const std::string& text)
    {
        const auto found = m_channels.find(link);
        if (found != m_channels.end())
            found->second->close(Reason { ResultCode::Ok, text });
    }

    void stop()
    {
        error_code ignored;
        m_acceptor.close(ignored);
        m_retryTimer.cancel();
        const auto channels = std::move(m_channels);
        m_channels.clear();
        for (const auto& [id, channel] : channels)
            channel->close(Reason { ResultCode::Stopping, "daemon stops" });
    }

    std::uint16_t port() const { return m_port; }
    const Reason& lastReason() const { return m_lastReason; }
    std::size_t linkCount() const
    {
        std::size_t count = 0;
        for (const auto& [id, channel] : m_channels)
            count += channel->isOpen() ? 1 : 0;
        return count;
    }

private:
    void accept()
    {
        detail::LinkConnection::ptr connection;
        try {
            connection = m_webSocketEndpoint->get_connection();
        } catch (const std::exception&) {
            connection.reset();
        }
        if (!connection) {
            acceptLater();
            return;
        }
        m_acceptor.async_accept(
            connection->get_raw_socket(), [weak = weak_from_this(), connection](const error_code& error) {
                const auto self = weak.lock();
                if (!self || !self->m_acceptor.is_open())
                    return;
                if (error) {
                    self->acceptLater();
                    return;
                }
                if (self->m_channels.size() < self->m_limits.m_maxLinks)
                    self->addChannel(connection);
                self->accept();
            });
    }

    void acceptLater()
    {
        m_retryTimer.expires_after(acceptRetryDelay);
        m_retryTimer.async_wait([weak = weak_from_this()](const error_code& error) {
            const auto self = weak.lock();
            if (self && !error)
                self->accept();
        });
    }

    void addChannel(const detail::LinkConnection::ptr& connection)
    {
        const LinkId id(++m_lastId);
        const std::weak_ptr<Impl> weak = weak_from_this();
        detail::LinkChannel::Events events;
        events.m_opened = [weak, id](std::string remote, std::string path) {
            const auto self = weak.lock();
            if (self && self->m_callbacks.m_opened)
                self->m_callbacks.m_opened(id, std::move(remote), std::move(path));
        };
        events.m_message = [weak, id](std::string message) {
            const auto self = weak.lock();
            if (self && self->m_callbacks.m_message)
                self->m_callbacks.m_message(id, std::move(message));
        };
        events.m_closed = [weak, id](Reason reason) {
            if (const auto self = weak.lock())
                self->onClosed(id, std::move(reason));
        };
        const auto channel = std::make_shared<detail::LinkChannel>(m_io, m_limits, std::move(events));
        m_channels.emplace(id, channel);
        channel->attach(connection, m_webSocketEndpoint);
        channel->start();
    }

    void onClosed(LinkId id, Reason reason)
    {
        const auto found = m_channels.find(id);
        if (found == m_channels.end())
            return;
        const bool wasOpened = found->second->wasOpened();
        m_channels.erase(found);
        if (wasOpened && m_callbacks.m_closed)
            m_callbacks.m_closed(id, std::move(reason));
    }

    boost::asio::io_context& m_io;
    const std::string m_address;
    std::uint16_t m_port;
    const LinkServerCallbacks m_callbacks;
    const LinkLimits m_limits;
    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::steady_timer m_retryTimer;
    std::shared_ptr<WebSocketEndpoint> m_webSocketEndpoint;
    std::unordered_map<LinkId, std::shared_ptr<detail::LinkChannel>> m_channels;
    std::uint64_t m_lastId = 0;
    Reason m_lastReason;
};

LinkServer::LinkServer(boost::asio::io_context& io, std::string address, std::uint16_t port,
    LinkServerCallbacks callbacks, LinkLimits limits)
    : m_impl(std::make_shared<Impl>(io, std::move(address), port, std::move(callbacks), limits))
{
}

LinkServer::~LinkServer() { stop(); }

bool LinkServer::start(Reason& reason) { return m_impl->start(reason); }

std::uint16_t LinkServer::port() const { return m_impl->port(); }

std::size_t LinkServer::linkCount() const { return m_impl->linkCount(); }

bool LinkServer::send(LinkId link, const std::string& message) { return m_impl->send(link, message); }

void LinkServer::close(LinkId link, const std::string& text) { m_impl->close(link, text); }

void LinkServer::stop() { m_impl->stop(); }

const Reason& LinkServer::lastReason() const { return m_impl->lastReason(); }

} // namespace flamingo
