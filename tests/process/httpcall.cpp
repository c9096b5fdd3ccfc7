#include "process/httpcall.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace flamingo::test {

namespace beast = boost::beast;
namespace http = beast::http;

HttpReply httpCall(const std::string& address, std::uint16_t port, const std::string& method, const std::string& target,
    const std::string& body, std::chrono::milliseconds limit)
{
    using Error = boost::system::error_code;
    HttpReply reply;
    boost::asio::io_context io;
    beast::tcp_stream stream(io);
    http::request<http::string_body> request(http::string_to_verb(method), target, 11, body);
    request.set(http::field::host, address);
    request.set(http::field::content_type, "application/json");
    request.keep_alive(false);
    request.prepare_payload();
    http::response<http::string_body> response;
    beast::flat_buffer buffer;
    stream.expires_after(limit);
    stream.async_connect({ boost::asio::ip::make_address(address), port }, [&](Error connectError) {
        if (connectError)
            return;
        reply.m_connected = true;
        http::async_write(stream, request, [&](Error writeError, std::size_t) {
            if (writeError)
                return;
            http::async_read(stream, buffer, response, [&](Error readError, std::size_t) {
                if (readError)
                    return;
                reply.m_status = response.result_int();
                reply.m_body = nlohmann::json::parse(response.body(), nullptr, false);
            });
        });
    });
    io.run();
    return reply;
}

} // namespace flamingo::test
