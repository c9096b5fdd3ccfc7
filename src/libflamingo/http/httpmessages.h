#pragma once

#include "base/time.h"
#include "http/httpfield.h"

#include <string>

namespace flamingo {

/** A request as it was read whole from a connection. */
struct HttpRequest {
    std::string m_method;
    std::string m_target;
    HttpFields m_fields; // without those that concern the connection alone
    std::string m_body;
    MonotonicTime m_receivedAt; // when it was whole
    bool m_newConnection = false; // the first request of its connection
};

/** An answer to a caller; length and connection fields are added when it is written. */
struct HttpResponse {
    unsigned m_status = 200;
    HttpFields m_fields;
    std::string m_body;
};

} // namespace flamingo
