#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "http/httpfield.h"
#include "routes/routetable.h"

#include <optional>
#include <string>

namespace flamingo {

/** A caller's request that is passed on to endpoints. */
struct ForwardRequest {
    RequestId m_id;
    std::string m_method;
    std::string m_host;
    std::string m_target;
    HttpFields m_fields; // those to pass on
    std::string m_body;
    MonotonicTime m_receivedAt;
    Milliseconds m_timeLeft { 0 }; // that the caller still waits when it sent the request; 0 if it does not say
    bool m_newConnection = false; // the caller opened its connection for this request
    // Set on a merging VM: it answers with the shards that it has when this much time has passed.
    std::optional<Milliseconds> m_partOfGoal;
    RoutePtr m_route; // fixed for the whole execution
    ConfigurationVersion m_version; // of the route
};

} // namespace flamingo
