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
 * The answer of a merging VM to an entry VM.
 *
 * Calls and answers between them are HTTP messages with CBOR bodies. They use HTTP rather than a WebSocket link because
 * the endpoint client already limits connections, propagates deadlines and cancels calls by closing the connection,
 * which the HTTP server already detects.
 */
struct MergeReply {
    std::vector<std::string> m_receipts; // one for each shard that the answer contains
    std::string m_records; // greatest records of these shards
    bool m_moreFollows = false; // the VM still queries the other shards
};

/** Asks a merging VM for the remaining shards of a group after an incomplete answer. */
struct MergeResumeCall {
    RequestId m_request;
    ServiceName m_firstShard; // first shard of the group, identifies it
    Milliseconds m_goalLeft { 0 }; // after this time the VM answers with the shards it has by then
};

/**
 * Decodes a call into a request with a route over its shards. Thread-safe.
 *
 * Returns false and sets the reason if the call is malformed.
 */
bool decodeMergeCall(const HttpRequest& http, ForwardRequest& request, Reason& reason);

/** Returns whether the call asks for the remaining shards of a group, not for a whole group. Thread-safe. */
bool isMergeResumeCall(const HttpRequest& http);

/** Sets the call's path and body to a request for the remaining shards of a group. Thread-safe. */
void writeMergeResumeCall(const MergeResumeCall& resume, EndpointCall& call);

/** Decodes a call for the remaining shards of a group; returns nothing if it is malformed. Thread-safe. */
std::optional<MergeResumeCall> decodeMergeResumeCall(const HttpRequest& http);

/** Sets the call's path and body to a request for the shards, with at most that many attempts for each. Thread-safe. */
void writeMergeCall(const ForwardRequest& request, const std::vector<ServiceName>& shards, std::uint32_t attempts,
    Milliseconds goalLeft, EndpointCall& call);

/** Encodes the answer to a call. Thread-safe. */
HttpResponse encodeMergeAnswer(const ForwardAnswer& answer);

/** Decodes the body of an answer; returns nothing if it is malformed. Thread-safe. */
std::optional<MergeReply> decodeMergeReply(const std::string& body);

/** Returns the HTTP mapping of calls to merging VMs. */
const EndpointProtocol& mergeProtocol();

} // namespace flamingo
