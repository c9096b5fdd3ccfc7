#pragma once

#include "base/ids.h"
#include "base/rate.h"
#include "base/time.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace flamingo {

/**
 * Rate of calls that one endpoint accepts, and this VM's token bucket for it. Not thread-safe: belongs to one event
 * loop.
 */
struct EndpointRateLimit {
    std::optional<RequestsPerSecond> m_limit; // for all VMs together, from the endpoint's newest answer
    double m_tokens = 1.0; // calls that this VM may send, as of m_tokensAt
    MonotonicTime m_tokensAt {};
};

/** Share of one VM in the rate limit of an endpoint. */
struct RateShare {
    RequestsPerSecond m_rate;
    double m_burst = 1.0; // calls that may be sent at once after a pause
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
    std::uint64_t m_passedOver = 0; // times that an endpoint was not chosen, since this VM's share was used up
    std::vector<RateLimitChange> m_changes; // for the log; at most maxChanges
    std::uint64_t m_changesOmitted = 0; // beyond maxChanges

    static constexpr std::size_t maxChanges = 64;
};

/**
 * Returns the share of each of the VMs that call the endpoint.
 *
 * VMs do not know each other's calls. The shares are such that the calls of all VMs stay below what an endpoint
 * tolerates, although they may save up calls and send them at the same time. Answers the load of a service whose
 * endpoints take less than their callers ask for. Thread-safe. Precondition: vms is above 0.
 */
RateShare rateShare(RequestsPerSecond limit, std::uint32_t vms);

/** Returns whether the VM may send a call now. Always true without a limit. Precondition: vms is above 0. */
bool permitsCall(const EndpointRateLimit& rateLimit, std::uint32_t vms, MonotonicTime now);

/** Returns when the VM may send the next call; now or earlier if it may now. Precondition: vms is above 0. */
MonotonicTime nextCallAt(const EndpointRateLimit& rateLimit, std::uint32_t vms, MonotonicTime now);

/** Takes a token for a call that is sent, if the endpoint names a limit. Precondition: vms is above 0. */
void countCall(EndpointRateLimit& rateLimit, std::uint32_t vms, MonotonicTime now);

/**
 * Stores the limit that an answer named, or nothing if it named none.
 *
 * The phase, 0 to 1, is the part of a token that the VM has at the start of a limit. It should differ between VMs, so
 * that their tokens are not complete at the same time.
 */
void setRateLimit(
    EndpointRateLimit& rateLimit, std::optional<RequestsPerSecond> limit, double phase, MonotonicTime now);

/** Adds a notable change of an endpoint's limit to the report. */
void reportRateLimit(RateLimitReport& report, const RateLimitChange& change);

} // namespace flamingo
