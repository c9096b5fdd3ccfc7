#pragma once

#include "base/reason.h"
#include "endpoint/endpointprotocol.h"
#include "forward/forwardanswer.h"
#include "forward/forwardrequest.h"
#include "http/httpmessages.h"

#include <optional>
#include <string>
#include <vector>

namespace flamingo {

/**
 * What an entry VM asks a merging VM for, and what it gets: HTTP with CBOR bodies.
 *
 * HTTP rather than a WebSocket link, because the endpoint client already bounds connections, passes deadlines on and
 * cancels by closing, and the server already notices that.
 */
struct MergeReply {
    std::vector<std::string> m_receipts; // one for each shard that is contained
    std::string m_records; // the greatest of these shards
};

/** Returns the body of the call that asks for the shards, with the attempts that each may have. Thread-safe. */
std::string encodeMergeCall(const ForwardRequest& request, const std::vector<ServiceName>& shards,
    std::uint32_t attempts, Milliseconds goalLeft);

/** Reads a call into a request with a route over its shards; false and a reason if it is malformed. Thread-safe. */
bool decodeMergeCall(const HttpRequest& http, ForwardRequest& request, Reason& reason);

/** Returns the answer to a call. Thread-safe. */
HttpResponse encodeMergeAnswer(const ForwardAnswer& answer);

/** Reads the body of an answer, or returns nothing if it is malformed. Thread-safe. */
std::optional<MergeReply> decodeMergeReply(const std::string& body);

/** Returns how calls to merging VMs are written. */
const EndpointProtocol& mergeProtocol();

} // namespace flamingo
