#pragma once

#include "base/time.h"

#include <cstddef>
#include <cstdint>
#include <string>

namespace flamingo {

/** Address and limits of the HTTP server. */
struct ApiSettings {
    std::string m_address = "127.0.0.1"; // IP address
    std::uint16_t m_port = 0; // 0 lets the operating system choose one
    std::size_t m_maxBodyBytes = 8u << 20;
    // Each connection uses a thread. Connections above the limit are closed at once.
    std::uint32_t m_maxConnections = 512;
    Milliseconds m_idleTimeout { 30000 }; // for a connection between requests; rounded up to seconds
    // From the first line of a request to the last byte of its body. Without this limit, a caller that sends a byte
    // now and then could occupy a thread forever.
    Milliseconds m_uploadTimeout { 10000 };
    Milliseconds m_maxDeadline { 600000 }; // largest deadline and wait that a caller may ask for
    Milliseconds m_stopTimeout { 30000 }; // longest time that stop() waits for requests in flight
};

} // namespace flamingo
