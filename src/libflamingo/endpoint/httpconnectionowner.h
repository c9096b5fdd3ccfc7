#pragma once

#include "endpoint/httpconnection.h"

#include <string>

namespace flamingo::detail {

/** Receives the events of connections. Called only by the io_context, never from within a method of a connection. */
class HttpConnectionOwner {
public:
    virtual ~HttpConnectionOwner() = default;

    /** The connection is established and idle. */
    virtual void connected(HttpConnection& connection) = 0;

    /**
     * A complete response has arrived. The state is Idle if the connection can carry another request, and Busy if
     * it must be closed.
     */
    virtual void answered(HttpConnection& connection, EndpointReply reply) = 0;

    /** The connection has ended. `before` is its state before the end, `text` the reason. */
    virtual void closed(HttpConnection& connection, HttpConnection::State before, const std::string& text) = 0;
};

} // namespace flamingo::detail
