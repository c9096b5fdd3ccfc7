#include "link/socketaddress.h"

#include <charconv>
#include <cstdint>

namespace flamingo {

std::optional<boost::asio::ip::tcp::endpoint> parseSocketAddress(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    std::string host = text.substr(0, colon);
    const bool bracketed = host.size() > 2 && host.front() == '[' && host.back() == ']';
    if (bracketed)
        host = host.substr(1, host.size() - 2);

    boost::system::error_code error;
    auto address = boost::asio::ip::make_address(host, error);
    if (error || address.is_v6() != bracketed)
        return std::nullopt;
    if (address.is_v6() && address.to_v6().is_v4_mapped())
        address = boost::asio::ip::make_address_v4(boost::asio::ip::v4_mapped, address.to_v6());

    std::uint16_t port = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
    if (parsed.ec != std::errc() || parsed.ptr != end || port == 0)
        return std::nullopt;
    return boost::asio::ip::tcp::endpoint(address, port);
}

std::string formatSocketAddress(const boost::asio::ip::tcp::endpoint& endpoint)
{
    const std::string host = endpoint.address().to_string();
    const std::string port = std::to_string(endpoint.port());
    return endpoint.address().is_v6() ? "[" + host + "]:" + port : host + ":" + port;
}

} // namespace flamingo
