#pragma once

#include "base/reason.h"
#include "endpoint/endpointprotocol.h"
#include "forward/forwardanswer.h"
#include "forward/forwardrequest.h"
#include "http/httpmessages.h"

#include <optional>

namespace flamingo {

/**
 * HTTP mapping of the requests and answers of callers and of the endpoints behind routes.
 *
 * The functions are pure and thread-safe.
 */
struct CallerProtocol {
    /** Moves a caller's HTTP request into a request without a route; returns false and sets the reason if invalid. */
    bool (*m_readRequest)(HttpRequest& http, ForwardRequest& request, Reason& reason);
    /** Returns the HTTP response for an answer. */
    HttpResponse (*m_writeAnswer)(ForwardAnswer answer);
    /** Returns the response to a health check of the load balancer. */
    HttpResponse (*m_writeHealth)(const HttpRequest& http, bool ready);
    /** Adds the header that tells endpoints the customer on whose behalf the request is made. */
    void (*m_writeCustomer)(ForwardRequest& request, const CustomerName& customer);
    const EndpointProtocol* m_endpoints; // for calls to endpoints
};

} // namespace flamingo
