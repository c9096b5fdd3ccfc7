#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace flamingo::bench {

/**
 * Small HTTP server that passes each complete request to a handler. Not thread-safe.
 *
 * The handler returns the body of the answer and sets its status; a status of 0 closes the connection without an
 * answer.
 */
class AdminServer {
public:
    using Handler = std::function<std::string(
        const std::string& method, const std::string& target, const std::string& body, unsigned& status)>;

    /** Starts to listen; port 0 selects any free port. Throws if the address cannot be bound. */
    AdminServer(boost::asio::io_context& context, const std::string& address, std::uint16_t port, Handler handler);

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
};

} // namespace flamingo::bench
