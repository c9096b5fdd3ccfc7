#pragma once

#include "base/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace flamingo::test {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/** What the server does with one request. */
struct Reaction {
    std::string m_bytes; // raw response; empty if the server does not respond
    bool m_close = false; // closes the connection after the response
    Milliseconds m_delay { 0 }; // before the response
    bool m_reset = false; // together with m_close: closes with a TCP reset
};

/** Returns a complete response that echoes the metadata of the request. */
inline std::string echo(const HttpRequest& request, const std::string& body, const std::string& fields = {})
{
    std::string text = "HTTP/1.1 200 OK\r\n" + fields;
    for (const char* name : { "Request", "Attempt", "Snapshot", "Layout", "Shard" }) {
        const std::string field = std::string("X-Flamingo-") + name;
        text += field + ": " + std::string(request[field]) + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/** HTTP server on the io_context of the test. The handler of the test decides how it reacts to each request. */
class TestServer {
public:
    using Handler = std::function<Reaction(const HttpRequest&)>;

    TestServer(boost::asio::io_context& context, Handler handler)
        : m_acceptor(context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
        , m_handler(std::move(handler))
    {
        accept();
    }

    ~TestServer()
    {
        for (auto& weak : m_sessions) {
            if (auto session = weak.lock())
                session->m_server = nullptr;
        }
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

    void closeAll()
    {
        for (auto& weak : m_sessions) {
            if (auto session = weak.lock())
                session->m_socket.close();
        }
    }

    std::vector<HttpRequest> m_requests;
    std::vector<std::size_t> m_connectionOfRequest; // for each request, the number of its connection, from 0
    std::size_t m_accepted = 0; // connections so far
    std::size_t m_open = 0; // current connections
    std::size_t m_maxOpen = 0; // maximum of m_open

private:
    struct Session : std::enable_shared_from_this<Session> {
        Session(TestServer& server, boost::asio::ip::tcp::socket socket, std::size_t number)
            : m_server(&server)
            , m_socket(std::move(socket))
            , m_timer(m_socket.get_executor())
            , m_number(number)
        {
            m_server->m_maxOpen = std::max(m_server->m_maxOpen, ++m_server->m_open);
        }
        ~Session()
        {
            if (m_server)
                --m_server->m_open;
        }

        void read()
        {
            m_request = {};
            boost::beast::http::async_read(
                m_socket, m_buffer, m_request, [self = shared_from_this()](auto error, std::size_t) {
                    if (!error && self->m_server)
                        self->react();
                });
        }

        void react()
        {
            m_server->m_requests.push_back(m_request);
            m_server->m_connectionOfRequest.push_back(m_number);
            m_reaction = m_server->m_handler(m_request);
            if (m_reaction.m_delay.count() == 0)
                return write();
            m_timer.expires_after(m_reaction.m_delay);
            m_timer.async_wait([self = shared_from_this()](auto) { self->write(); });
        }

        void write()
        {
            boost::system::error_code error;
            if (!m_reaction.m_bytes.empty())
                boost::asio::write(m_socket, boost::asio::buffer(m_reaction.m_bytes), error);
            if (m_reaction.m_reset)
                m_socket.set_option(boost::asio::socket_base::linger(true, 0), error);
            if (m_reaction.m_close)
                m_socket.close(error);
            else
                read();
        }

        TestServer* m_server; // unset once the server is destroyed
        boost::asio::ip::tcp::socket m_socket;
        boost::asio::steady_timer m_timer;
        std::size_t m_number;
        boost::beast::flat_buffer m_buffer;
        HttpRequest m_request;
        Reaction m_reaction;
    };

    void accept()
    {
        m_acceptor.async_accept([this](auto error, boost::asio::ip::tcp::socket socket) {
            if (error)
                return;
            auto session = std::make_shared<Session>(*this, std::move(socket), m_accepted++);
            m_sessions.push_back(session);
            session->read();
            accept();
        });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
    std::vector<std::weak_ptr<Session>> m_sessions;
};

} // namespace flamingo::test
