#include "http/httpserver.h"

#include "base/log.h"
#include "http/connectionload.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <exception>
#include <optional>
#include <set>
#include <sys/socket.h>
#include <vector>

namespace flamingo {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using tcp = asio::ip::tcp;

// Limits how long a caller that does not read its answer occupies memory.
constexpr Milliseconds writeTimeout { 10000 };
// Delay before the next accept after a failed one. The usual cause of failure is a lack of file descriptors.
constexpr Milliseconds acceptRetryDelay { 50 };
// Holds the connections that arrive within one probe interval of the load balancer, so that one slow iteration of the
// event loop does not refuse any.
constexpr int listenBacklog = 512;
// Time that a caller has for its first request if it connected just before the port was closed. Covers a round trip and
// a retransmission.
constexpr Milliseconds firstRequestTime { 300 };
// Largest part of a request that the parser cannot consume yet, besides the header: the line before a chunk, or the
// trailers.
constexpr std::size_t maxUnparsedBytes = 131072;
// A connection keeps no larger buffer between requests.
constexpr std::size_t maxIdleBufferBytes = 16384;
// What a connection needs besides its buffers: its socket, timer and parser.
constexpr std::uint64_t connectionBytes = 4096;
// Bounds what the kernel holds for a caller that does not read. Takes an answer of the usual size at once.
constexpr int sendBufferBytes = 65536;

std::string_view view(boost::beast::string_view text) { return { text.data(), text.size() }; }

unsigned statusOf(const error_code& error)
{
    if (error == http::error::body_limit)
        return 413;
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return 431;
    return 400;
}

std::string headerOf(const HttpResponse& response, bool close, Milliseconds idleTimeout)
{
    std::string header = "HTTP/1.1 " + std::to_string(response.m_status) + " "
        + std::string(view(http::obsolete_reason(static_cast<http::status>(response.m_status)))) + "\r\n";
    for (const HttpField& field : response.m_fields)
        header.append(field.m_name).append(": ").append(field.m_value).append("\r\n");
    header.append("Content-Length: ").append(std::to_string(response.m_body.size())).append("\r\n");
    if (close)
        header.append("Connection: close\r\n");
    else
        header.append("Keep-Alive: timeout=").append(std::to_string(idleTimeout.count() / 1000)).append("\r\n");
    return header.append("\r\n");
}

} // namespace

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
public:
    class Connection;

    Impl(asio::io_context& io, HttpHandler handler)
        : m_io(io)
        , m_handler(std::move(handler))
        , m_acceptor(io)
        , m_acceptRetryTimer(io)
    {
    }

    bool start(const SocketAddress& address, Reason& reason);
    void accept();
    void serve(tcp::socket socket);
    template <typename Choose> bool closeOne(const Choose& choose);
    bool makeRoom();
    bool closeSlowest();
    void acceptPending();
    void stopAccepting();
    void stop();

    asio::io_context& m_io;
    HttpHandler m_handler;
    tcp::acceptor m_acceptor;
    asio::steady_timer m_acceptRetryTimer;
    CallerLimits m_limits;
    ByteBudget* m_budget = nullptr;
    std::size_t m_maxConnections = 0; // 0 for no limit
    HttpServerCounters m_counters;
    std::set<std::shared_ptr<Connection>> m_connections;
    bool m_closeAfterAnswer = false; // each connection is closed after its next answer
    bool m_stopped = false; // no new connections are accepted
};

class HttpServer::Impl::Connection final : public HttpExchange, public std::enable_shared_from_this<Connection> {
public:
    Connection(std::shared_ptr<Impl> server, tcp::socket socket)
        : m_server(std::move(server))
        , m_socket(std::move(socket))
        , m_timer(m_server->m_io)
        , m_held(m_server->m_budget)
    {
    }

    void run()
    {
        error_code ignored;
        m_socket.set_option(tcp::no_delay(true), ignored);
        m_socket.set_option(asio::socket_base::send_buffer_size(sendBufferBytes), ignored);
        readRequest();
    }

    /**
     * Closes the connection if it is idle. A request that has arrived and is not yet read is answered first, and a
     * caller that has just connected has a moment to send one.
     */
    void closeIfIdle()
    {
        if (m_state != State::Reading || m_requestStarted || hasUnreadBytes())
            return;
        if (m_hadRequest)
            close();
        else
            startTimer(firstRequestTime);
    }

    void close()
    {
        if (m_state == State::Closed)
            return;
        const bool requestPending = m_state == State::Handling;
        m_state = State::Closed;
        m_held.set(0);
        m_requestHeld.reset();
        error_code ignored;
        m_socket.shutdown(tcp::socket::shutdown_both, ignored);
        m_socket.close(ignored);
        m_timer.cancel();
        --m_server->m_counters.m_connectionsOpen;
        if (requestPending) {
            --m_server->m_counters.m_requestsInFlight;
            ++m_server->m_counters.m_abandoned;
            if (const auto handler = std::move(m_onAbandoned))
                handler();
        }
        m_onAbandoned = nullptr;
        m_server->m_connections.erase(shared_from_this());
    }

    HttpRequest& request() override { return m_request; }

    std::shared_ptr<HeldBytes> heldBytes() override { return m_requestHeld; }

    /** Returns what the connection holds and waits for. */
    ConnectionLoad load() const
    {
        ConnectionLoad load;
        load.m_since = m_stateSince;
        load.m_heldBytes = m_held.bytes() + (m_requestHeld ? m_requestHeld->bytes() : 0);
        if (m_state == State::Handling)
            load.m_waitsFor = ConnectionLoad::WaitsFor::Answer;
        else if (m_state == State::Writing)
            load.m_waitsFor = ConnectionLoad::WaitsFor::Reader;
        else if (m_requestStarted)
            load.m_waitsFor = ConnectionLoad::WaitsFor::RestOfRequest;
        return load;
    }

    void onAbandoned(std::function<void()> handler) override { m_onAbandoned = std::move(handler); }

    void respond(HttpResponse response) override
    {
        if (m_state != State::Handling)
            return;
        --m_server->m_counters.m_requestsInFlight;
        m_onAbandoned = nullptr;
        write(std::move(response), !m_keepAlive || m_server->m_closeAfterAnswer);
    }

private:
    enum class State {
        Reading,
        Handling,
        Writing,
        Closed,
    };
    using Parser = http::request_parser<http::string_body>;

    void enter(State state)
    {
        m_state = state;
        m_stateSince = monotonicNow();
    }

    /** Counts the buffers, and what the parser holds of a request. */
    void updateHeld(std::uint64_t otherBytes) { m_held.set(connectionBytes + m_buffer.capacity() + otherBytes); }

    void startTimer(Milliseconds timeout)
    {
        m_timer.expires_after(timeout);
        m_timer.async_wait([self = shared_from_this(), generation = ++m_timerGeneration](error_code error) {
            if (!error && self->m_timerGeneration == generation)
                self->close();
        });
    }

    void readRequest()
    {
        enter(State::Reading);
        m_parser.emplace();
        m_parser->eager(true);
        const CallerLimits& limits = m_server->m_limits;
        m_parser->header_limit(static_cast<std::uint32_t>(limits.m_headerBytes));
        m_parser->body_limit(limits.m_bodyBytes);
        m_buffer.max_size(std::max<std::size_t>(limits.m_headerBytes, maxUnparsedBytes));
        m_requestStarted = m_buffer.size() > 0;
        if (!m_requestStarted && m_buffer.capacity() > maxIdleBufferBytes)
            m_buffer = boost::beast::flat_buffer();
        updateHeld(0);
        startTimer(m_requestStarted ? limits.m_headerTimeout : limits.m_idleTimeout);
        // Waits for the first bytes separately, since the idle timeout may be longer than the header timeout.
        if (m_requestStarted) {
            readSome();
            return;
        }
        m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
            if (error || self->m_state != State::Reading) {
                self->close();
                return;
            }
            self->m_requestStarted = true;
            self->enter(State::Reading);
            self->startTimer(self->m_server->m_limits.m_headerTimeout);
            self->readSome();
        });
    }

    void readSome()
    {
        http::async_read_some(m_socket, m_buffer, *m_parser,
            [self = shared_from_this()](error_code error, std::size_t) { self->onRead(error); });
    }

    void onRead(error_code error)
    {
        if (m_state != State::Reading)
            return;
        if (error == http::error::end_of_stream || error == asio::error::eof
            || error == asio::error::connection_reset) {
            close();
            return;
        }
        if (error) {
            ++m_server->m_counters.m_refusedRequests;
            FLAMINGO_LOG(Info, "malformed request refused", { "reason", error.message() });
            write(HttpResponse { statusOf(error), {}, error.message() + "\n" }, true);
            return;
        }
        if (m_parser->is_done()) {
            handleRequest();
            return;
        }
        updateHeld(m_parser->get().body().capacity());
        if (m_state == State::Reading)
            readSome();
    }

    void handleRequest()
    {
        m_timer.cancel();
        ++m_timerGeneration;
        auto message = m_parser->release();
        m_keepAlive = message.keep_alive();
        m_request = HttpRequest();
        m_request.m_method = std::string(view(message.method_string()));
        m_request.m_target = std::string(view(message.target()));
        for (const auto& field : message) {
            const std::string_view name = view(field.name_string());
            if (!isConnectionField(name))
                m_request.m_fields.push_back({ std::string(name), std::string(view(field.value())) });
        }
        m_request.m_body = std::move(message.body());
        m_request.m_receivedAt = monotonicNow();
        m_request.m_newConnection = !m_hadRequest;
        m_hadRequest = true;
        // After the process was stalled, the callers of waiting requests may have given up.
        if (m_buffer.size() == 0 && callerHasDisconnected()) {
            close();
            return;
        }
        enter(State::Handling);
        updateHeld(0);
        m_requestHeld = std::make_shared<HeldBytes>(m_server->m_budget);
        m_requestHeld->set(m_request.m_body.capacity());
        ++m_server->m_counters.m_requests;
        ++m_server->m_counters.m_requestsInFlight;
        watchForDisconnect();
        const auto self = shared_from_this();
        callHandler(self);
    }

    // An unexpected exception costs this request only.
    void callHandler(const std::shared_ptr<Connection>& self)
    {
        try {
            m_server->m_handler(self);
        } catch (const std::exception& exception) {
            ++m_server->m_counters.m_failedRequests;
            FLAMINGO_LOG(
                Error, "request handler failed", { "target", m_request.m_target }, { "reason", exception.what() });
            respond({ 500, {}, "internal error\n" });
        }
    }

    // Closes the connection when the caller closes its side. Bytes of the next request stay unread.
    void watchForDisconnect()
    {
        if (m_buffer.size() > 0)
            return;
        m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code error) {
            if (!error && self->m_state == State::Handling && self->callerHasDisconnected())
                self->close();
        });
    }

    bool hasUnreadBytes()
    {
        error_code error;
        return m_socket.available(error) > 0;
    }

    bool callerHasDisconnected()
    {
        char byte = 0;
        const ssize_t count = ::recv(m_socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EINTR);
    }

    void write(HttpResponse response, bool close)
    {
        enter(State::Writing);
        startTimer(writeTimeout);
        m_header = headerOf(response, close, m_server->m_limits.m_idleTimeout);
        m_body = std::move(response.m_body);
        m_written = 0;
        m_closeWhenWritten = close;
        m_requestHeld.reset();
        updateHeld(m_body.capacity());
        writeSome();
    }

    void writeSome()
    {
        const std::size_t headerWritten = std::min(m_written, m_header.size());
        const std::array<asio::const_buffer, 2> rest { asio::buffer(m_header) + headerWritten,
            asio::buffer(m_body) + (m_written - headerWritten) };
        m_socket.async_write_some(rest, [self = shared_from_this()](error_code error, std::size_t bytes) {
            if (self->m_state == State::Writing)
                self->onWritten(error, bytes);
        });
    }

    void onWritten(error_code error, std::size_t bytes)
    {
        m_written += bytes;
        if (error) {
            close();
            return;
        }
        if (m_written < m_header.size() + m_body.size()) {
            writeSome();
            return;
        }
        m_body = std::string();
        if (m_closeWhenWritten)
            closeAfterCaller();
        else
            readRequest();
    }

    // Closes the connection once the caller has closed its side or the linger time has passed. Closing it with unread
    // bytes would reset it, and the answer could be lost.
    void closeAfterCaller()
    {
        constexpr Milliseconds lingerTime { 500 };
        error_code ignored;
        m_socket.shutdown(tcp::socket::shutdown_send, ignored);
        startTimer(lingerTime);
        discardInput();
    }

    void discardInput()
    {
        constexpr std::size_t discardBytes = 4096;
        m_buffer.consume(m_buffer.size());
        m_socket.async_read_some(
            m_buffer.prepare(discardBytes), [self = shared_from_this()](error_code error, std::size_t) {
                if (error || self->m_state != State::Writing)
                    self->close();
                else
                    self->discardInput();
            });
    }

    std::shared_ptr<Impl> m_server;
    tcp::socket m_socket;
    asio::steady_timer m_timer;
    std::uint64_t m_timerGeneration = 0;
    boost::beast::flat_buffer m_buffer;
    std::optional<Parser> m_parser;
    HttpRequest m_request;
    std::function<void()> m_onAbandoned;
    std::string m_header;
    std::string m_body;
    std::size_t m_written = 0; // bytes of header and body that the kernel has taken
    bool m_closeWhenWritten = false;
    State m_state = State::Reading;
    MonotonicTime m_stateSince {}; // when the connection began to wait for what it waits for
    HeldBytes m_held; // buffers and the answer
    std::shared_ptr<HeldBytes> m_requestHeld; // what is held for the request until it is answered
    bool m_requestStarted = false;
    bool m_keepAlive = false;
    bool m_hadRequest = false;
};

bool HttpServer::Impl::start(const SocketAddress& address, Reason& reason)
{
    error_code error;
    const auto ip = asio::ip::make_address(address.m_ip, error);
    const tcp::endpoint endpoint(ip, address.m_port);
    if (!error)
        m_acceptor.open(endpoint.protocol(), error);
    if (!error)
        m_acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        m_acceptor.bind(endpoint, error);
    if (!error)
        m_acceptor.listen(listenBacklog, error);
    if (error) {
        reason = Reason { ResultCode::InvalidSettings, "cannot listen on " + address.text() + ": " + error.message() };
        return false;
    }
    accept();
    return true;
}

void HttpServer::Impl::accept()
{
    m_acceptor.async_accept([self = shared_from_this()](error_code error, tcp::socket socket) {
        // A connection that was accepted just before the port was closed is served as well.
        if (!error && self->m_handler)
            self->serve(std::move(socket));
        if (self->m_stopped)
            return;
        if (error) {
            FLAMINGO_LOG(Warning, "accept failed", { "reason", error.message() });
            self->m_acceptRetryTimer.expires_after(acceptRetryDelay);
            self->m_acceptRetryTimer.async_wait([self](error_code waited) {
                if (!waited && !self->m_stopped)
                    self->accept();
            });
            return;
        }
        self->accept();
    });
}

template <typename Choose> bool HttpServer::Impl::closeOne(const Choose& choose)
{
    const std::vector<std::shared_ptr<Connection>> connections(m_connections.begin(), m_connections.end());
    std::vector<ConnectionLoad> loads;
    loads.reserve(connections.size());
    for (const auto& connection : connections)
        loads.push_back(connection->load());
    const std::optional<std::size_t> chosen = choose(loads);
    if (chosen)
        connections[*chosen]->close();
    return chosen.has_value();
}

bool HttpServer::Impl::makeRoom()
{
    const MonotonicTime now = monotonicNow();
    const bool closed = closeOne([now](const auto& loads) { return connectionToMakeRoom(loads, now); });
    m_counters.m_closedForRoom += closed ? 1 : 0;
    return closed;
}

bool HttpServer::Impl::closeSlowest()
{
    const bool closed = closeOne(connectionToFreeMemory);
    m_counters.m_closedForMemory += closed ? 1 : 0;
    return closed;
}

void HttpServer::Impl::serve(tcp::socket socket)
{
    ++m_counters.m_connectionsAccepted;
    if (m_maxConnections > 0 && m_connections.size() >= m_maxConnections && !makeRoom()) {
        ++m_counters.m_refusedConnections;
        return; // closes the socket
    }
    ++m_counters.m_connectionsOpen;
    const auto connection = std::make_shared<Connection>(shared_from_this(), std::move(socket));
    m_connections.insert(connection);
    connection->run();
    if (m_stopped)
        connection->closeIfIdle();
}

// Accepts the connections that the system has established for this port and that closing it would reset.
void HttpServer::Impl::acceptPending()
{
    error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
        tcp::socket socket(m_io);
        m_acceptor.accept(socket, error);
        if (!error)
            serve(std::move(socket));
    }
}

void HttpServer::Impl::stopAccepting()
{
    m_closeAfterAnswer = true;
    if (!m_stopped && m_acceptor.is_open() && m_handler)
        acceptPending();
    m_stopped = true;
    error_code ignored;
    m_acceptor.close(ignored);
    m_acceptRetryTimer.cancel();
    const auto connections = m_connections;
    for (const auto& connection : connections)
        connection->closeIfIdle();
}

void HttpServer::Impl::stop()
{
    m_handler = nullptr;
    stopAccepting();
    const auto connections = m_connections;
    for (const auto& connection : connections)
        connection->close();
}

HttpServer::HttpServer(asio::io_context& io, HttpHandler handler)
    : m_impl(std::make_shared<Impl>(io, std::move(handler)))
{
}

HttpServer::~HttpServer() { m_impl->stop(); }

bool HttpServer::start(const SocketAddress& address, Reason& reason) { return m_impl->start(address, reason); }

void HttpServer::setLimits(const CallerLimits& limits) { m_impl->m_limits = limits; }

void HttpServer::setBudget(ByteBudget& budget) { m_impl->m_budget = &budget; }

void HttpServer::setMaxConnections(std::size_t count) { m_impl->m_maxConnections = count; }

bool HttpServer::closeSlowest() { return m_impl->closeSlowest(); }

void HttpServer::announceClose() { m_impl->m_closeAfterAnswer = true; }

void HttpServer::stopAccepting() { m_impl->stopAccepting(); }

const HttpServerCounters& HttpServer::counters() const { return m_impl->m_counters; }

} // namespace flamingo
