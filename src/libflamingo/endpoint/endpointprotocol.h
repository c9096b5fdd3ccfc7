#pragma once

#include "endpoint/endpointcall.h"

#include <string>
#include <string_view>

namespace flamingo {

/**
 * HTTP header mapping of calls and replies.
 *
 * The functions are pure and thread-safe.
 */
struct EndpointProtocol {
    /** Returns whether the call's texts are valid in HTTP header lines. */
    bool (*m_isValid)(const EndpointCall& call);
    /** Returns the HTTP header of the call's request, blank line included. Precondition: the call is valid. */
    std::string (*m_formatHeader)(const EndpointCall& call, Milliseconds remaining);
    /** Stores the value of one response header in the reply; ignores headers that the reply does not hold. */
    void (*m_readField)(EndpointReply& reply, std::string_view name, std::string_view value);
    /** Whether a response without a length is complete when its connection closes; otherwise the call is lost. */
    bool m_closeEndsAnswer = false;
};

/** Returns the protocol of this project, for endpoints that hold shards of snapshots. */
const EndpointProtocol& snapshotProtocol();

} // namespace flamingo
