#pragma once

#include <cstdint>

namespace flamingo {

/** Current connections and queued calls of one endpoint. */
struct EndpointConnections {
    std::uint32_t m_open = 0; // all that count against this VM's share of the endpoint's connections
    std::uint32_t m_connecting = 0;
    std::uint32_t m_idle = 0;
    std::uint32_t m_closing = 0; // closed on this side, not yet by the endpoint
    std::uint32_t m_queuedCalls = 0;
};

/** Totals of an EndpointClient since its start, for metrics. */
struct EndpointClientCounters {
    std::uint64_t m_connectionsOpen = 0; // current number
    std::uint64_t m_connectionsOpened = 0;
    std::uint64_t m_connectionsFailed = 0; // refused or timed out while connecting
    std::uint64_t m_connectionsLost = 0; // closed or reset by the endpoint, or closed for invalid HTTP
    std::uint64_t m_connectionsRetired = 0; // closed because a call on this or another connection timed out
    std::uint64_t m_callsStarted = 0;
    std::uint64_t m_callsAnswered = 0;
    std::uint64_t m_callsNotSent = 0;
    std::uint64_t m_callsLost = 0;
    std::uint64_t m_callsTimedOut = 0;
    std::uint64_t m_callsCancelled = 0;
    std::uint64_t m_callsInFlight = 0; // current number of calls started and not yet finished
};

} // namespace flamingo
