#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace flamingo::bench {

/**
 * Small HTTP server that hands whole requests to a function. Not thread-safe.
 *
 * A status of 0 closes the connection without an answer.
 */
class AdminServer {
public:
    using Handler = std::function<std::string(
        const std::string& method, const std::string& target, const std::string& body, unsigned& status)>;

    /** Starts to listen; port 0 takes any free port. Throws if the address cannot be had. */
    AdminServer(boost::asio::io_context& context, const std::string& address, std::uint16_t port, Handler handler);

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }

private:
    void accept();

    boost::asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
};

} // namespace flamingo::bench
