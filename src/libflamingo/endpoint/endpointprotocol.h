#pragma once

#include "endpoint/endpointcall.h"

#include <string>
#include <string_view>

namespace flamingo {

/**
 * How calls and replies are written in HTTP headers.
 *
 * The functions are pure and thread-safe.
 */
struct EndpointProtocol {
    /** Returns whether the call's texts fit into HTTP header lines. */
    bool (*m_isValid)(const EndpointCall& call);
    /** Returns the HTTP header of the call's request, blank line included. Precondition: the call is valid. */
    std::string (*m_header)(const EndpointCall& call, Milliseconds remaining);
    /** Takes one header line of an answer into the reply. */
    void (*m_readField)(EndpointReply& reply, std::string_view name, std::string_view value);
    /** Whether an answer without a length ends with its connection; otherwise it counts as lost. */
    bool m_closeEndsAnswer = false;
};

/** Returns the project's own protocol, in which endpoints hold shards of snapshots. */
const EndpointProtocol& snapshotProtocol();

} // namespace flamingo
