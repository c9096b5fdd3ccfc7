#include "endpoint/httpconnection.h"

#include "endpoint/httpconnectionowner.h"
#include "endpoint/replyparser.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace flamingo::detail {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::uint64_t maxBodyBytes = 4ULL * 1024 * 1024;
constexpr std::size_t headerReadBytes = 4096;
constexpr std::size_t bodyReadBytes = 16384;
constexpr std::size_t maxIdleBufferBytes = 16384;
// Largest part of an answer that the parser cannot consume yet: a head, or the line before a chunk with its extensions.
constexpr std::size_t maxUnparsedBytes = 16384;
// All bytes of one answer as received, interim answers and the framing of chunks included.
constexpr std::uint64_t maxAnswerBytes = 2 * maxBodyBytes;

class BeastConnection final : public HttpConnection {
public:
    BeastConnection(asio::io_context& context, const EndpointProtocol& protocol, HttpConnectionOwner& owner)
        : m_owner(&owner)
        , m_protocol(protocol)
        , m_socket(context)
        , m_timer(context)
    {
    }

    void connect(const std::string& address, std::uint16_t port, Milliseconds timeout) override
    {
        m_state = State::Connecting;
        error_code error;
        const auto ip = asio::ip::make_address(address, error);
        if (error) {
            asio::post(m_socket.get_executor(),
                [self = self(), text = "invalid IP address '" + address + "'"] { self->end(text); });
            return;
        }
        startTimer(timeout, "connect timed out");
        m_socket.async_connect({ ip, port }, [self = self()](error_code result) { self->onConnect(result); });
    }

    SendResult send(
        const RequestId& request, std::string header, std::string& body, std::shared_ptr<HeldBytes> held) override
    {
        error_code error;
        if (!m_namesRequests && m_socket.available(error) > 0) {
            m_state = State::Closed;
            release();
            return SendResult::NothingSent;
        }
        // A request that fits into the socket's send buffer is sent at once, without a turn of the io_context.
        const std::array<asio::const_buffer, 2> buffers { asio::buffer(header), asio::buffer(body) };
        const std::size_t written = m_socket.write_some(buffers, error);
        if (error && error != asio::error::would_block) {
            m_state = State::Closed;
            release();
            return SendResult::NothingSent;
        }
        m_state = State::Busy;
        m_answerBytes = 0;
        m_request = request;
        m_held = std::move(held);
        m_header = std::move(header);
        m_body = std::move(body);
        expectAnswer();
        writeRest(written);
        return SendResult::Started;
    }

    void close(Milliseconds timeout) override
    {
        m_state = State::Closing;
        // The peer may send on for the whole timeout.
        dropAnswer();
        error_code error;
        m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, error);
        startTimer(error ? Milliseconds(0) : timeout, "closed");
    }

    void detach() override
    {
        m_owner = nullptr;
        m_state = State::Closed;
        release();
    }

private:
    std::shared_ptr<BeastConnection> self() { return std::static_pointer_cast<BeastConnection>(shared_from_this()); }

    void startTimer(Milliseconds timeout, const char* text)
    {
        m_timer.expires_after(timeout);
        m_timer.async_wait([self = self(), text, expected = m_state](error_code error) {
            // A handler that was already queued when the timer was cancelled is called without an error.
            if (!error && self->m_state == expected)
                self->end(text);
        });
    }

    void onConnect(error_code error)
    {
        if (m_state != State::Connecting)
            return;
        m_timer.cancel();
        if (!error)
            m_socket.set_option(asio::ip::tcp::no_delay(true), error);
        if (!error)
            m_socket.set_option(asio::socket_base::keep_alive(true), error);
        if (!error)
            m_socket.non_blocking(true, error);
        if (error) {
            end("connect failed: " + error.message());
            return;
        }
        m_state = State::Idle;
        read();
        if (m_owner)
            m_owner->connected(*this);
    }

    /** Frees what was received of an answer. */
    void dropAnswer()
    {
        m_parser.reset();
        if (m_held)
            m_held->subtract(m_countedBody + m_countedBuffer);
        m_held.reset();
        m_countedBody = 0;
        m_countedBuffer = 0;
    }

    /** Counts the memory that the answer takes so far, in the buffer and as a body. */
    void countAnswer()
    {
        if (!m_held)
            return;
        const std::size_t body = std::max(m_countedBody, m_parser->bodyCapacity());
        const std::size_t buffer = std::max(m_countedBuffer, m_buffer.capacity());
        m_held->add((body - m_countedBody) + (buffer - m_countedBuffer));
        m_countedBody = body;
        m_countedBuffer = buffer;
    }

    void expectAnswer() { m_parser.emplace(m_protocol, maxBodyBytes); }

    /** Returns whether the answer being read exceeds a limit, as that of a peer that sends without end. */
    bool isAnswerTooLarge() const { return m_buffer.size() > maxUnparsedBytes || m_answerBytes > maxAnswerBytes; }

    // One read is outstanding on every open connection. It receives the answer on a busy connection and detects that
    // the peer closed an idle one.
    void read()
    {
        const bool readingBody = m_state == State::Busy && m_parser && m_parser->is_header_done();
        const auto space = m_buffer.prepare(readingBody ? bodyReadBytes : headerReadBytes);
        if (readingBody)
            countAnswer();
        m_socket.async_read_some(
            space, [self = self()](error_code error, std::size_t bytes) { self->onRead(error, bytes); });
    }

    void onRead(error_code error, std::size_t bytes)
    {
        if (m_state == State::Closed)
            return;
        m_buffer.commit(bytes);
        if (error == asio::error::eof && closeEndsAnswer()) {
            finishAtClose();
            return;
        }
        if (error) {
            end(m_state == State::Closing       ? "closed"
                    : error == asio::error::eof ? "the endpoint closed the connection"
                                                : "connection failed: " + error.message());
            return;
        }
        if (m_state == State::Closing) {
            m_buffer.consume(m_buffer.size());
            read();
            return;
        }
        if (m_state == State::Idle) {
            end("the endpoint sent data without a request");
            return;
        }
        m_answerBytes += bytes;
        parse();
    }

    void parse()
    {
        while (m_buffer.size() > 0 && !m_parser->is_done()) {
            error_code error;
            m_buffer.consume(m_parser->put(m_buffer.data(), error));
            if (error == http::error::need_more)
                break;
            if (error) {
                end("invalid HTTP response: " + error.message());
                return;
            }
            if (!m_protocol.m_closeEndsAnswer && m_parser->is_header_done() && m_parser->need_eof()) {
                // Without a length, a truncated response cannot be told from a complete one.
                end("HTTP response has neither Content-Length nor chunked encoding");
                return;
            }
            if (m_parser->is_done() && (m_parser->status() < 200 || answersOtherRequest())) {
                m_inSync = m_inSync && !answersOtherRequest();
                expectAnswer();
            }
        }
        if (m_parser->is_done())
            finish();
        else if (isAnswerTooLarge())
            end("the answer is too large");
        else
            read();
    }

    bool answersOtherRequest() const
    {
        const RequestId& named = m_parser->request();
        return !named.value().empty() && named != m_request;
    }

    /** Returns whether the response being read ends when the peer closes the connection. */
    bool closeEndsAnswer() const
    {
        return m_state == State::Busy && m_protocol.m_closeEndsAnswer && m_parser && m_parser->is_header_done()
            && m_parser->need_eof();
    }

    void finishAtClose()
    {
        error_code error;
        m_parser->put_eof(error);
        if (error || answersOtherRequest())
            end("the endpoint closed the connection");
        else
            finish();
    }

    void finish()
    {
        countAnswer();
        m_countedBody = 0; // the owner of the reply holds it from now on
        EndpointReply reply = m_parser->takeReply();
        m_namesRequests = !reply.m_request.value().empty();
        const bool reusable = m_inSync && m_parser->keep_alive() && m_writeDone && m_buffer.size() == 0;
        dropAnswer();
        if (reusable) {
            m_state = State::Idle;
            if (m_buffer.capacity() > maxIdleBufferBytes)
                m_buffer = boost::beast::flat_buffer();
        }
        read();
        if (m_owner)
            m_owner->answered(*this, std::move(reply));
    }

    void writeRest(std::size_t written)
    {
        const std::size_t headerWritten = std::min(written, m_header.size());
        const std::array<asio::const_buffer, 2> rest { asio::buffer(m_header) + headerWritten,
            asio::buffer(m_body) + (written - headerWritten) };
        m_writeDone = asio::buffer_size(rest) == 0;
        if (m_writeDone)
            return;
        // A write error also ends the read. It is handled there, so that an answer sent before the error is still read.
        asio::async_write(
            m_socket, rest, [self = self()](error_code error, std::size_t) { self->m_writeDone = !error; });
    }

    void release()
    {
        dropAnswer();
        error_code ignored;
        m_socket.close(ignored);
        m_timer.cancel();
    }

    void end(const std::string& text)
    {
        if (m_state == State::Closed)
            return;
        const State before = std::exchange(m_state, State::Closed);
        release();
        if (m_owner)
            m_owner->closed(*this, before, text);
    }

    HttpConnectionOwner* m_owner;
    const EndpointProtocol& m_protocol;
    asio::ip::tcp::socket m_socket;
    asio::steady_timer m_timer;
    boost::beast::flat_buffer m_buffer;
    std::optional<ReplyParser> m_parser;
    RequestId m_request; // the request that waits for an answer
    std::uint64_t m_answerBytes = 0; // received since the request was sent
    std::shared_ptr<HeldBytes> m_held; // counts the memory of the answer
    std::size_t m_countedBody = 0; // of the answer being received, in m_held
    std::size_t m_countedBuffer = 0;
    // Whether the last answer named its request. A late answer that does not is recognized only while it is unread
    // before the next request is sent.
    bool m_namesRequests = false;
    bool m_inSync = true; // false once an answer to another request has arrived, since more may follow
    std::string m_header;
    std::string m_body;
    bool m_writeDone = true;
};

} // namespace

std::shared_ptr<HttpConnection> HttpConnection::create(
    boost::asio::io_context& context, const EndpointProtocol& protocol, HttpConnectionOwner& owner)
{
    return std::make_shared<BeastConnection>(context, protocol, owner);
}

} // namespace flamingo::detail
