#pragma once

#include "endpoint/httpconnection.h"

#include <string>

namespace flamingo::detail {

/** Receives the events of connections. Called only from the io_context, never from within a method. */
class HttpConnectionOwner {
public:
    virtual ~HttpConnectionOwner() = default;

    /** The connection is idle and may be used. */
    virtual void connected(HttpConnection& connection) = 0;

    /**
     * A whole answer arrived. The state is Idle if the connection can carry another request, and Busy
     * if it must be closed.
     */
    virtual void answered(HttpConnection& connection, EndpointReply reply) = 0;

    /** The connection has ended, for the reason in the text. Its state before the end is given. */
    virtual void closed(HttpConnection& connection, HttpConnection::State before, const std::string& text) = 0;
};

} // namespace flamingo::detail
