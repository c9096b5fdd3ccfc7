#pragma once

#include "forward/forwardexecution.h"

#include <cstddef>
#include <optional>
#include <vector>

namespace flamingo {

// Decisions about letting another VM take over a request, since this VM has lost its links to the endpoints. The
// functions have no state and change nothing but the reply of readRelayedAnswer().

/** Returns whether an endpoint ran the request or may have run it, as far as this VM knows. */
bool mayHaveRun(const ForwardExecution& execution);

/** Returns whether another VM has taken over. */
bool isRelayed(const ForwardExecution& execution);

/**
 * Returns whether another VM must take over: one that this VM chooses, or the one that has relayed the request.
 *
 * A call that may run only once and has perhaps been sent can still be answered, so such a request stays.
 */
bool mustHandOver(const ForwardState& state, const ForwardExecution& execution);

/** Returns the calls to endpoints that have not ended. */
std::vector<AttemptNumber> openEndpointCalls(const ForwardExecution& execution);

/**
 * Reads the answer of a VM that took over; returns nothing if it is malformed.
 *
 * Marks the reply as not run if the VM could not read the call, as one of another version may.
 */
std::optional<ForwardAnswer> readRelayedAnswer(EndpointReply& reply);

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
 * Precondition: the request is idempotent, or no call of it can have run.
 */
HandOver planHandOver(const ForwardExecution& execution);

/** Returns the part by which another VM serves a whole request that was not sent to any endpoint. */
ForwardPart relayPart(const Route& route);

/**
 * Returns the route for the VM that takes over: with its shards and attempts, and with the share of these shards that
 * it needs for the minimum answered share of the request. Precondition: the part is a relay.
 */
Route relayRoute(const ForwardExecution& execution, const ForwardPart& relay, std::uint32_t attempts);

} // namespace flamingo
