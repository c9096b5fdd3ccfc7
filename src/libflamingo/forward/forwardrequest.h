#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "http/httpfield.h"
#include "routes/routetable.h"

#include <optional>
#include <string>

namespace flamingo {

/** A caller's request that is forwarded to endpoints. */
struct ForwardRequest {
    RequestId m_id;
    std::string m_method;
    std::string m_host;
    std::string m_target;
    HttpFields m_fields; // headers to forward
    std::string m_body;
    MonotonicTime m_receivedAt;
    Milliseconds m_timeLeft { 0 }; // how long the caller waits, counted from its sending; 0 if not stated
    bool m_newConnection = false; // the caller opened its connection for this request
    // Set on a merging VM: after this time it answers with the shards it has by then.
    std::optional<Milliseconds> m_partialAnswerAfter;
    bool m_relayed = false; // comes from another VM, which cannot reach the endpoints
    bool m_attemptsGranted = false; // the VM that relayed the request counts attempts over all VMs
    std::optional<Milliseconds> m_goalLeft; // of a relayed request, until the calling VM must answer
    RoutePtr m_route; // fixed for the whole execution
    ConfigurationVersion m_version; // of the configuration that contains the route
};

} // namespace flamingo
