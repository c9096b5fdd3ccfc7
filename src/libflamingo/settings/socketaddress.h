#pragma once

#include <cstdint>
#include <string>

namespace flamingo {

/** IP address and port. */
struct SocketAddress {
    std::string m_ip;
    std::uint16_t m_port = 0;

    /** Returns "address:port", with an IPv6 address in brackets. */
    std::string text() const
    {
        const bool isIpv6 = m_ip.find(':') != std::string::npos;
        return (isIpv6 ? "[" + m_ip + "]" : m_ip) + ":" + std::to_string(m_port);
    }

    friend bool operator==(const SocketAddress& a, const SocketAddress& b)
    {
        return a.m_ip == b.m_ip && a.m_port == b.m_port;
    }
};

} // namespace flamingo
