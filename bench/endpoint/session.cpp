#include "endpoint/session.h"

#include "endpoint/logicalendpoint.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

#include <charconv>

namespace flamingo::bench {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::uint64_t maxBodyBytes = 4 * 1024 * 1024;

}

Session::Session(LogicalEndpoint& endpoint, asio::ip::tcp::socket socket)
    : m_endpoint(&endpoint)
    , m_socket(std::move(socket))
    , m_timer(m_socket.get_executor())
{
    error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void Session::start(Milliseconds delay)
{
    if (delay.count() == 0)
        return read();
    m_timer.expires_after(delay);
    m_timer.async_wait([self = shared_from_this()](error_code error) {
        if (!error && self->m_endpoint)
            self->read();
    });
}

void Session::read()
{
    m_state = State::Reading;
    m_parser.emplace();
    m_parser->body_limit(maxBodyBytes);
    boost::beast::http::async_read(
        m_socket, m_buffer, *m_parser, [self = shared_from_this()](error_code error, std::size_t) {
            if (!self->m_endpoint)
                return;
            if (error)
                self->onConnectionLost();
            else
                self->onRequest();
        });
}

void Session::onRequest()
{
    m_request = m_parser->release();
    const auto remaining
        = header("X-Flamingo-Deadline-Ms").empty() ? std::uint64_t(60000) : numericHeader("X-Flamingo-Deadline-Ms");
    m_deadline = monotonicNow() + Milliseconds(remaining);
    watchForClose();
    if (m_state != State::Silent)
        m_endpoint->onRequest(shared_from_this());
}

/** Detects that the peer closes the connection while no read is pending, which cancels the request. */
void Session::watchForClose()
{
    if (m_watching)
        return;
    m_watching = true;
    m_socket.async_wait(asio::socket_base::wait_read, [self = shared_from_this()](error_code error) {
        self->m_watching = false;
        if (error || !self->m_endpoint || self->m_state == State::Reading)
            return;
        char byte = 0;
        error_code result;
        self->m_socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, result);
        if (result)
            self->onConnectionLost();
    });
}

void Session::run(Microseconds serviceTime)
{
    m_state = State::Running;
    m_timer.expires_after(serviceTime);
    m_timer.async_wait([self = shared_from_this()](error_code error) {
        if (!error && self->m_endpoint && self->m_state == State::Running)
            self->m_endpoint->finishExecution(self);
    });
}

void Session::answer(unsigned status, std::string body, bool notRun, Milliseconds retryAfter, double load)
{
    m_state = State::Answering;
    m_answer = "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Refused")
        + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    for (const char* name :
        { "X-Flamingo-Request", "X-Flamingo-Attempt", "X-Flamingo-Snapshot", "X-Flamingo-Layout", "X-Flamingo-Shard" })
        m_answer += std::string(name) + ": " + header(name) + "\r\n";
    m_answer += "X-Flamingo-Load: " + std::to_string(load) + "\r\n";
    if (notRun)
        m_answer += "X-Flamingo-Not-Run: 1\r\n";
    if (retryAfter.count() > 0)
        m_answer += "Retry-After-Ms: " + std::to_string(retryAfter.count()) + "\r\n";
    const bool keepAlive = m_request.keep_alive();
    m_answer += (keepAlive ? "\r\n" : "Connection: close\r\n\r\n") + body;
    asio::async_write(
        m_socket, asio::buffer(m_answer), [self = shared_from_this(), keepAlive](error_code error, std::size_t) {
            if (!self->m_endpoint || self->m_state == State::Silent)
                return;
            if (error || !keepAlive)
                self->onConnectionLost();
            else
                self->read();
        });
}

void Session::silence()
{
    m_state = State::Silent;
    if (m_endpoint)
        watchForClose();
}

void Session::close()
{
    m_endpoint = nullptr;
    m_state = State::Closed;
    m_timer.cancel();
    error_code ignored;
    m_socket.close(ignored);
}

void Session::onConnectionLost()
{
    LogicalEndpoint* endpoint = m_endpoint;
    endpoint->onConnectionClosed(*this);
}

bool Session::isQuery() const { return m_request.target() == "/shard/query"; }

std::string Session::header(const char* name) const { return std::string(m_request[name]); }

std::uint64_t Session::numericHeader(const char* name) const
{
    const std::string text = header(name);
    std::uint64_t value = 0;
    std::from_chars(text.data(), text.data() + text.size(), value);
    return value;
}

} // namespace flamingo::bench
