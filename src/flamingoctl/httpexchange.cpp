#include "httpexchange.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <chrono>
#include <optional>

namespace flamingo::ctl {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

// Limited, so that time remains to try the next server if one does not accept the connection.
constexpr Milliseconds connectTimeout { 2000 };
constexpr std::uint64_t maxAnswerBytes = 64ULL * 1024 * 1024;
constexpr int http11 = 11;

/** One exchange, run on its own io_context. */
class Exchange {
public:
    explicit Exchange(MonotonicTime deadline)
        : m_stream(m_context)
        , m_resolver(m_context)
        , m_deadline(deadline)
    {
    }

    ExchangeResult run(
        const std::string& server, const std::string& method, const std::string& target, const std::string& body)
    {
        const std::size_t colon = server.rfind(':');
        if (colon == std::string::npos) {
            m_result.m_text = "server '" + server + "' must be an address and a port, such as 10.0.0.1:8400";
            return m_result;
        }
        m_request = { http::string_to_verb(method), target, http11, body };
        m_request.set(http::field::host, server);
        m_request.set(http::field::content_type, "application/json");
        m_request.set(http::field::connection, "close");
        m_request.prepare_payload();
        error_code error;
        const auto addresses = m_resolver.resolve(server.substr(0, colon), server.substr(colon + 1), error);
        if (error) {
            m_result.m_text = error.message();
            return m_result;
        }
        m_stream.expires_after(std::min<MonotonicClock::duration>(m_deadline - monotonicNow(), connectTimeout));
        m_stream.async_connect(addresses, [this](error_code result, const auto&) {
            if (result)
                m_result.m_text = "connection failed: " + result.message();
            else
                write();
        });
        m_context.run();
        return std::move(m_result);
    }

private:
    void write()
    {
        m_result.m_outcome = ExchangeOutcome::NoAnswer;
        m_stream.expires_after(m_deadline - monotonicNow());
        http::async_write(m_stream, m_request, [this](error_code error, std::size_t) {
            if (error)
                m_result.m_text = "sending the request failed: " + error.message();
            else
                read();
        });
    }

    void read()
    {
        m_parser.body_limit(maxAnswerBytes);
        http::async_read(m_stream, m_buffer, m_parser, [this](error_code error, std::size_t) {
            if (error) {
                m_result.m_text = error == boost::beast::error::timeout ? "no answer before the deadline"
                                                                        : "incomplete answer: " + error.message();
                return;
            }
            m_result.m_outcome = ExchangeOutcome::Answered;
            m_result.m_status = m_parser.get().result_int();
            m_result.m_body = std::move(m_parser.get().body());
        });
    }

    asio::io_context m_context;
    boost::beast::tcp_stream m_stream;
    asio::ip::tcp::resolver m_resolver;
    MonotonicTime m_deadline;
    http::request<http::string_body> m_request;
    http::response_parser<http::string_body> m_parser;
    boost::beast::flat_buffer m_buffer;
    ExchangeResult m_result;
};

} // namespace

ExchangeResult exchange(const std::string& server, const std::string& method, const std::string& target,
    const std::string& body, MonotonicTime deadline)
{
    return Exchange(deadline).run(server, method, target, body);
}

} // namespace flamingo::ctl
