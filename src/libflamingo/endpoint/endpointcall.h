#pragma once

#include "base/heldbytes.h"
#include "base/ids.h"
#include "base/rate.h"
#include "base/time.h"
#include "endpoint/endpointlifetime.h"
#include "http/httpfield.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

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
    std::string m_host; // Host header from the caller; only for forwarded requests
    HttpFields m_fields; // HTTP headers of a forwarded request, or of a call to another VM
    std::string m_body;
    MonotonicTime m_deadline;
    // Time at which the call times out if this is before the deadline. The endpoint may still work until the deadline.
    MonotonicTime m_answerBy = MonotonicTime::max();
    // Opens a connection for this call alone and closes it afterwards. Required for requests that are not
    // idempotent.
    bool m_dedicatedConnection = false;
    // Uses a new connection, or one that connected or answered within the last seconds. Set for hedges and retries,
    // since an older idle connection may be as unresponsive as the one of the first attempt.
    bool m_recentlyActiveConnection = false;
    std::shared_ptr<HeldBytes> m_held; // counts the bytes of the answer; null if they are not counted
};

/** Final state of a call. */
enum class CallOutcome {
    Answered, // a complete HTTP response arrived, with any status
    NotSent, // no byte of the request left this process
    ConnectionLost, // closed or reset after sending, without a complete response
    TimedOut, // sent, but no complete response in time
    Cancelled, // sent, then cancelled by the owner of the call
};

/** Result of one call. */
struct EndpointReply {
    CallOutcome m_outcome = CallOutcome::NotSent;
    unsigned m_status = 0; // HTTP status of an answered call
    bool m_notRun = false; // the endpoint refused the request before it started to run it
    Milliseconds m_retryAfter { 0 };
    // Echoed by the endpoint. The owner compares them with the call before it accepts the answer.
    RequestId m_request;
    AttemptNumber m_attempt;
    SnapshotVersion m_snapshot;
    LayoutId m_layout;
    ShardIndex m_shard;
    double m_load = 0.0; // as reported by the endpoint, 0 to 1; may be out of date or wrong
    // Rate that the endpoint accepts from all VMs together; unset if the answer names none.
    std::optional<RequestsPerSecond> m_rateLimit;
    bool m_rateLimitMalformed = false; // the answer names a limit that cannot be read
    // From a VM that returns a request: how many of the attempts granted to it ran or may have run.
    std::optional<std::uint32_t> m_usedAttempts;
    bool m_leaving = false; // the endpoint says that it leaves and wants no further calls
    std::vector<EndpointLifetime> m_leavingEndpoints; // from a VM: endpoints that said so in answers to its calls
    bool m_wrongEndpoint = false; // another endpoint answered at the address; it did not run the request
    std::string m_receipt; // receipt header, passed on so that the caller can recognise the endpoint's answer
    HttpFields m_fields; // HTTP headers that a forwarded answer passes on
    std::string m_body;
    Microseconds m_elapsed { 0 }; // from the start of the call to its end
    std::string m_text; // error message for people
};

using EndpointReplyHandler = std::function<void(EndpointReply)>;

} // namespace flamingo
