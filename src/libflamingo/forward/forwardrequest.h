#pragma once

#include "base/heldbytes.h"
#include "base/ids.h"
#include "base/time.h"
#include "http/httpfield.h"
#include "routes/routetable.h"

#include <cstdint>
#include <memory>
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
    // Headers that hold the API key or name a customer. They are forwarded only where no keys are required.
    HttpFields m_credentials;
    std::optional<std::string> m_apiKey;
    CustomerName m_customer; // on whose behalf the request is made; empty for none
    MonotonicTime m_receivedAt;
    Milliseconds m_timeLeft { 0 }; // how long the caller waits, counted from its sending; 0 if not stated
    bool m_newConnection = false; // the caller opened its connection for this request
    // Set on a merging VM: after this time it answers with the shards it has by then.
    std::optional<Milliseconds> m_partialAnswerAfter;
    bool m_relayed = false; // comes from another VM, which cannot reach the endpoints
    bool m_attemptsGranted = false; // the VM that relayed the request counts attempts over all VMs
    std::optional<Milliseconds> m_goalLeft; // of a relayed request, until the calling VM must answer
    std::uint32_t m_priority = 0; // that of the customer, or else of the route; 0 is the most urgent
    std::shared_ptr<HeldBytes> m_held; // counts what is held for the request; null if that is not counted
    RoutePtr m_route; // fixed for the whole execution
    ConfigurationVersion m_version; // of the configuration that contains the route
};

} // namespace flamingo
