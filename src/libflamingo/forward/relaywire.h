#pragma once

#include "base/reason.h"
#include "endpoint/endpointcall.h"
#include "forward/forwardanswer.h"
#include "forward/forwardrequest.h"
#include "http/httpmessages.h"

#include <optional>

namespace flamingo {

/**
 * Messages by which an entry VM that cannot reach the endpoints lets another one serve a request.
 *
 * A call carries the request and its route, so that it is handled by the configuration of the calling VM. The answer
 * carries the final answer. All functions are thread-safe.
 */

/** Returns whether the request is a call to serve a request of another VM. */
bool isRelayCall(const HttpRequest& http);

/**
 * Sets the call's path, headers and body.
 *
 * The route is the one of the request, with the attempts that the other VM is granted and the shards that it is to
 * call. After goalLeft it answers with the shards it has by then, as far as the route allows.
 */
void writeRelayCall(const ForwardRequest& request, const Route& route, Milliseconds goalLeft, EndpointCall& call);

/**
 * Decodes a call into a request with its route. Returns false and sets the reason if the call is malformed.
 *
 * A call that does not state the granted attempts gets one: the VM that sends it does not count the attempts that were
 * made before.
 */
bool decodeRelayCall(const HttpRequest& http, ForwardRequest& request, Reason& reason);

/** Adds the customer and the priority of the request to a call to another VM, whether it merges or serves the request.
 */
void writeCallerPriority(const ForwardRequest& request, EndpointCall& call);

/** Reads what writeCallerPriority() has added; a VM of the version before adds nothing. */
void readCallerPriority(const HttpRequest& http, ForwardRequest& request);

/** Encodes the answer to a call. */
HttpResponse encodeRelayAnswer(const ForwardAnswer& answer);

/** Decodes the body of an answer; returns nothing if it is malformed. */
std::optional<ForwardAnswer> decodeRelayAnswer(const std::string& body);

} // namespace flamingo
