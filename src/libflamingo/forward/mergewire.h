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
    bool m_moreFollows = false; // the VM still works on the other shards
};

/** Names the work of a merging VM that is to go on. */
struct MergeRestCall {
    RequestId m_request;
    ServiceName m_firstShard; // of the group
    Milliseconds m_goalLeft { 0 }; // the VM answers with what it has when this much time has passed
};

/** Reads a call into a request with a route over its shards; false and a reason if it is malformed. Thread-safe. */
bool decodeMergeCall(const HttpRequest& http, ForwardRequest& request, Reason& reason);

/** Returns whether the call asks for the rest of a group, and not for a group. Thread-safe. */
bool isMergeRestCall(const HttpRequest& http);

/** Makes the call ask for the rest of a group. Thread-safe. */
void writeMergeRestCall(const MergeRestCall& rest, EndpointCall& call);

/** Reads a call for the rest of a group; nothing if it is malformed. Thread-safe. */
std::optional<MergeRestCall> decodeMergeRestCall(const HttpRequest& http);

/** Makes the call ask for the shards, with the attempts that each may have. Thread-safe. */
void writeMergeCall(const ForwardRequest& request, const std::vector<ServiceName>& shards, std::uint32_t attempts,
    Milliseconds goalLeft, EndpointCall& call);

/** Returns the answer to a call. Thread-safe. */
HttpResponse encodeMergeAnswer(const ForwardAnswer& answer);

/** Reads the body of an answer, or returns nothing if it is malformed. Thread-safe. */
std::optional<MergeReply> decodeMergeReply(const std::string& body);

/** Returns how calls to merging VMs are written. */
const EndpointProtocol& mergeProtocol();

} // namespace flamingo
