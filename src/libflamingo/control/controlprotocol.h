#pragma once

#include "base/ids.h"
#include "base/reason.h"
#include "control/endpointrecord.h"
#include "http/httpmessages.h"
#include "routes/routeconfiguration.h"

#include <optional>
#include <string>
#include <variant>

namespace flamingo {

/** An endpoint says that it is alive. */
struct EndpointHeartbeat {
    EndpointRecord m_endpoint; // its incarnation grows with each start under the same id
    std::uint64_t m_sequence = 0; // of this message among those of the incarnation
};

/** An endpoint says that it ends. */
struct EndpointDeparture {
    EndpointId m_endpoint;
    std::optional<Incarnation> m_incarnation; // if the endpoint names it
};

/** An operator replaces the routes. */
struct RoutesUpload {
    RouteConfiguration m_configuration;
    std::string m_document; // as sent
};

/** An operator reads the routes. */
struct RoutesRead { };

using ControlCall = std::variant<EndpointHeartbeat, EndpointDeparture, RoutesUpload, RoutesRead>;

/** What a control VM answers to a ControlCall. */
struct ControlAnswer {
    ResultCode m_code = ResultCode::Ok;
    std::string m_text;
    std::string m_document; // the routes that were read
    std::string
        m_leaderApi; // where the leader answers: for later heartbeats, or for the same call if m_code is NotLeader
};

/**
 * How operators and endpoints write calls to control VMs in HTTP.
 *
 * The functions are pure and thread-safe.
 */
struct ControlProtocol {
    std::optional<ControlCall> (*m_read)(HttpRequest& http, Reason& reason);
    HttpResponse (*m_write)(const HttpRequest& http, const ControlAnswer& answer);
};

} // namespace flamingo
