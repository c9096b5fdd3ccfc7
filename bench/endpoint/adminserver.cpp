#include "endpoint/adminserver.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <memory>
#include <utility>

namespace flamingo::bench {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

class AdminSession : public std::enable_shared_from_this<AdminSession> {
public:
    AdminSession(asio::ip::tcp::socket socket, AdminServer::Handler handler)
        : m_socket(std::move(socket))
        , m_handler(std::move(handler))
    {
    }

    void read()
    {
        m_request = {};
        http::async_read(m_socket, m_buffer, m_request, [self = shared_from_this()](error_code error, std::size_t) {
            if (!error)
                self->answer();
        });
    }

private:
    void answer()
    {
        unsigned status = 200;
        m_response = {};
        m_response.body() = m_handler(
            std::string(m_request.method_string()), std::string(m_request.target()), m_request.body(), status);
        if (status == 0)
            return;
        m_response.result(status);
        m_response.keep_alive(m_request.keep_alive());
        m_response.prepare_payload();
        http::async_write(m_socket, m_response, [self = shared_from_this()](error_code error, std::size_t) {
            if (!error && self->m_response.keep_alive())
                self->read();
        });
    }

    asio::ip::tcp::socket m_socket;
    AdminServer::Handler m_handler;
    boost::beast::flat_buffer m_buffer;
    http::request<http::string_body> m_request;
    http::response<http::string_body> m_response;
};

} // namespace

AdminServer::AdminServer(asio::io_context& context, const std::string& address, std::uint16_t port, Handler handler)
    : m_acceptor(context, { asio::ip::make_address(address), port })
    , m_handler(std::move(handler))
{
    accept();
}

void AdminServer::accept()
{
    m_acceptor.async_accept([this](error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error)
            std::make_shared<AdminSession>(std::move(socket), m_handler)->read();
        accept();
    });
}

} // namespace flamingo::bench
