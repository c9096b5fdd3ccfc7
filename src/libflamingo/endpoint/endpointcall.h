#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "http/httpfield.h"

#include <cstdint>
#include <functional>
#include <string>

namespace flamingo {

/** One HTTP request to one endpoint. */
struct EndpointCall {
    EndpointId m_endpoint;
    std::string m_address; // IP address
    std::uint16_t m_port = 0;
    std::string m_path; // "/shard/query" or "/shard/request", or the target of a forwarded request
    RequestId m_request;
    AttemptNumber m_attempt;
    SnapshotVersion m_snapshot;
    LayoutId m_layout;
    ShardIndex m_shard;
    std::string m_kind;
    std::string m_method = "POST";
    std::string m_host; // as the caller named it; for forwarded requests
    HttpFields m_fields; // of a forwarded request
    std::string m_body;
    MonotonicTime m_deadline;
    // The call ends as timed out at this time, although the other side may work until the deadline.
    MonotonicTime m_answerBy = MonotonicTime::max();
    // Opens a connection for this call alone and closes it afterwards. Required for requests that
    // are not idempotent.
    bool m_freshConnection = false;
    // Uses only a connection that answered within the last second, or a new one. Set for hedges and
    // retries, since an old connection may be as silent as the first.
    bool m_provenConnection = false;
};

/** How far a call got. */
enum class CallOutcome {
    Answered, // a whole HTTP answer arrived; see the status
    NotSent, // no byte of the request left this process
    ConnectionLost, // closed or reset after sending, without a whole answer
    TimedOut, // no whole answer by the deadline
    Cancelled, // by the owner of the call
};

/** Result of one call. */
struct EndpointReply {
    CallOutcome m_outcome = CallOutcome::NotSent;
    unsigned m_status = 0; // HTTP status when answered
    bool m_notRun = false; // the endpoint refused before it started the request
    Milliseconds m_retryAfter { 0 };
    // Echoed by the endpoint; compared with the call before the answer counts.
    RequestId m_request;
    AttemptNumber m_attempt;
    SnapshotVersion m_snapshot;
    LayoutId m_layout;
    ShardIndex m_shard;
    double m_load = 0.0; // the endpoint's own report, 0 to 1; may lag or mislead
    bool m_wrongEndpoint = false; // another endpoint answered at the address; it did not run the request
    std::string m_receipt; // by which the caller recognises the endpoint's answer
    HttpFields m_fields; // that are passed on with a forwarded answer
    std::string m_body;
    Microseconds m_elapsed { 0 };
    std::string m_text; // error for people
};

using EndpointReplyHandler = std::function<void(EndpointReply)>;

} // namespace flamingo
