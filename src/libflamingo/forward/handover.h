#pragma once

#include "forward/forwardexecution.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace flamingo {

/** What becomes of the parts of a request whose VM has lost its links to the endpoints. */
struct HandOver {
    std::optional<ForwardPart> m_relay; // the call to another VM; unset if nothing is left that one could do
    std::vector<std::size_t> m_handedOver; // shards that the relay asks for; answers to open calls are dropped
    std::vector<std::size_t> m_exhausted; // parts without an answer that may not be sent to any further endpoint
};

/**
 * Plans how another VM takes over a request that is in progress.
 *
 * Shards that have answered are kept. The others are requested with the fewest attempts that any of them has left.
 * Precondition: the request is idempotent, or no call of it can have run. Thread-safe.
 */
HandOver planHandOver(const ForwardExecution& execution);

/** Returns the part by which another VM serves a whole request that was not sent to any endpoint. Thread-safe. */
ForwardPart relayPart(const Route& route);

/**
 * Returns the route for the VM that takes over: with its shards and attempts, and with the share of these shards that
 * it needs for the minimum answered share of the request. Precondition: the part is a relay. Thread-safe.
 */
Route relayRoute(const ForwardExecution& execution, const ForwardPart& relay, std::uint32_t attempts);

} // namespace flamingo
