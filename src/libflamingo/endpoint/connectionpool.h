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
    std::vector<std::shared_ptr<HttpConnection>>
        m_connections; // all that count against the limit, closing ones included
    std::vector<HttpConnection*> m_idle; // the most recently used one is last
    std::deque<CallHandle> m_queue;
    std::uint32_t m_minConnections = 0; // number of connections to open before calls need them
    std::uint32_t m_connecting = 0; // connections being opened, without those reserved for a single call
    std::uint32_t m_closing = 0; // connections closed on this side, not yet by the endpoint
    bool m_keepIfEmpty = false; // the pool is kept when it has no connections and no calls
    bool m_removed = false; // the endpoint was removed; connections are closed after use

    bool hasRoom() const { return m_connections.size() < m_limits.m_maxConnections; }
};

/**
 * Returns the idle connection that was used last, or null if there is none. Not thread-safe.
 *
 * With recentlyActive set, also returns null if that connection has not connected or answered recently.
 */
HttpConnection* findIdle(const ConnectionPool& pool, bool recentlyActive);

/** Removes the connection from the idle ones, if it is one of them. Not thread-safe. */
void removeIdle(ConnectionPool& pool, const HttpConnection& connection);

} // namespace flamingo::detail
