#pragma once

#include <boost/asio/ip/tcp.hpp>

#include <optional>
#include <string>

namespace flamingo {

/**
 * Parses "ip:port" or "[ip]:port" (IPv6). Returns nothing if the text is not a numeric address with a port above 0.
 *
 * An IPv4 address that is mapped to IPv6 is returned as IPv4, so that equal addresses compare as equal. Thread-safe.
 */
std::optional<boost::asio::ip::tcp::endpoint> parseSocketAddress(const std::string& text);

/** Formats an address as "ip:port" or "[ip]:port" (IPv6). Thread-safe. */
std::string formatSocketAddress(const boost::asio::ip::tcp::endpoint& endpoint);

} // namespace flamingo
