#pragma once

#include "base/ids.h"
#include "base/rate.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace flamingo {

/** Rate of calls that one endpoint accepts, as this VM knows it. Not thread-safe: belongs to one event loop. */
struct EndpointRateLimit {
    std::optional<RequestsPerSecond> m_limit; // for all VMs together, from the endpoint's newest answer
};

/** An endpoint that named a rate limit, changed it or no longer names one. */
struct RateLimitChange {
    EndpointId m_endpoint;
    ServiceName m_service;
    std::optional<RequestsPerSecond> m_before;
    std::optional<RequestsPerSecond> m_after;
};

/** Counters of rate limits since the daemon started, and the changes that were not reported yet. */
struct RateLimitReport {
    std::uint64_t m_named = 0; // endpoints that began to name a limit
    std::uint64_t m_ended = 0; // endpoints that ceased to name one
    std::uint64_t m_calls = 0; // calls sent to endpoints that name a limit
    std::vector<RateLimitChange> m_changes; // for the log; at most maxChanges
    std::uint64_t m_changesOmitted = 0; // beyond maxChanges

    static constexpr std::size_t maxChanges = 64;
};

/** Stores the limit that an answer named, or nothing if it named none, and reports a notable change. */
void setRateLimit(EndpointRateLimit& rateLimit, std::optional<RequestsPerSecond> limit, const EndpointId& endpoint,
    const ServiceName& service, RateLimitReport& report);

} // namespace flamingo
