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

/** Heartbeat of an endpoint. */
struct EndpointHeartbeat {
    EndpointRecord m_endpoint; // the incarnation grows with each start under the same id
    std::uint64_t m_sequence = 0; // number of this message within the incarnation
};

/** Announcement of an endpoint that it is shutting down. */
struct EndpointDeparture {
    EndpointId m_endpoint;
    std::optional<Incarnation> m_incarnation; // set if the endpoint sent it
};

/** Replacement of the routes by an operator. */
struct RoutesUpload {
    RouteConfiguration m_configuration;
    std::string m_document; // text of the configuration as sent
};

/** Request of an operator to read the routes. */
struct RoutesRead { };

/** Order of an operator to start or end the evacuation of a data centre. */
struct EvacuationOrder {
    DataCentreName m_dataCentre;
    bool m_evacuated = false;
};

using ControlCall = std::variant<EndpointHeartbeat, EndpointDeparture, RoutesUpload, RoutesRead, EvacuationOrder>;

/** Answer of a control VM to a ControlCall. */
struct ControlAnswer {
    ResultCode m_code = ResultCode::Ok;
    std::string m_text;
    std::string m_document; // the routes, for RoutesRead
    // Address of the leader's API, for later heartbeats and, if m_code is NotLeader, for resending this call.
    std::string m_leaderApi;
};

/**
 * Mapping between HTTP and the calls of operators and endpoints to control VMs.
 *
 * m_read parses a request and fills the reason if it is invalid; m_write formats the response. Both functions are
 * pure and thread-safe.
 */
struct ControlProtocol {
    std::optional<ControlCall> (*m_read)(HttpRequest& http, Reason& reason);
    HttpResponse (*m_write)(const HttpRequest& http, const ControlAnswer& answer);
};

} // namespace flamingo
