#pragma once

#include "base/time.h"
#include "http/httpfield.h"

#include <string>

namespace flamingo {

/** A complete request, read from a connection. */
struct HttpRequest {
    std::string m_method;
    std::string m_target;
    HttpFields m_fields; // without those that apply to the connection only
    std::string m_body;
    MonotonicTime m_receivedAt; // when the request was complete
    bool m_newConnection = false; // whether this is the first request of its connection
};

/** An answer to a caller. The server adds the length and connection fields when it writes the answer. */
struct HttpResponse {
    unsigned m_status = 200;
    HttpFields m_fields;
    std::string m_body;
};

} // namespace flamingo
