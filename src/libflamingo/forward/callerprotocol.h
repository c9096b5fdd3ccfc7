#pragma once

#include "base/reason.h"
#include "endpoint/endpointprotocol.h"
#include "forward/forwardanswer.h"
#include "forward/forwardrequest.h"
#include "http/httpmessages.h"

#include <optional>

namespace flamingo {

/**
 * How callers and endpoints of routes write requests and answers in HTTP.
 *
 * The functions are pure and thread-safe.
 */
struct CallerProtocol {
    /** Takes what the caller sent into a request without a route; false and a reason if it is not proper. */
    bool (*m_readRequest)(HttpRequest& http, ForwardRequest& request, Reason& reason);
    HttpResponse (*m_writeAnswer)(ForwardAnswer answer);
    /** Returns the answer to the load balancer's probe. */
    HttpResponse (*m_writeHealth)(const HttpRequest& http, bool ready);
    const EndpointProtocol* m_endpoints;
};

} // namespace flamingo
