#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace flamingo {

/** Returns the endpoint for "ip:port" or "[ip]:port", or nothing if the text is not numeric. Thread-safe. */
std::optional<boost::asio::ip::tcp::endpoint> parseSocketAddress(const std::string& text);

/** Returns the endpoint as "ip:port" or "[ip]:port". Thread-safe. */
std::string formatSocketAddress(const boost::asio::ip::tcp::endpoint& endpoint);

} // namespace flamingo
