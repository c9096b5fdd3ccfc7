#pragma once

#include "base/ids.h"
#include "endpoint/callhandle.h"
#include "endpoint/endpointlimits.h"
#include "endpoint/httpconnection.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <vector>

namespace flamingo::detail {

/** Connections to one endpoint and the calls that wait for one. */
struct ConnectionPool {
    EndpointId m_endpoint;
    std::string m_address;
    std::uint16_t m_port = 0;
    EndpointLimits m_limits;
    std::vector<std::shared_ptr<HttpConnection>> m_connections; // all that count against the share
    std::vector<HttpConnection*> m_idle; // the one used last is at the back
    std::deque<CallHandle> m_queue;
    std::uint32_t m_warm = 0; // connections to keep open ahead of need
    std::uint32_t m_connecting = 0; // those not reserved for a single call
    std::uint32_t m_closing = 0;
    bool m_configured = false; // kept while empty
    bool m_forgotten = false; // connections are closed after use

    bool hasRoom() const { return m_connections.size() < m_limits.m_connections; }
};

} // namespace flamingo::detail
