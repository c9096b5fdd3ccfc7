#include "control/heartbeatdecision.h"

#include "control/applycontext.h"
#include "control/endpointcommands.h"

namespace flamingo {

namespace {

bool hasLeft(const ControlState& state, const EndpointId& endpoint, Incarnation incarnation)
{
    const auto left = state.m_leftEndpoints.find(endpoint);
    return left != state.m_leftEndpoints.end() && left->second.m_incarnation >= incarnation;
}

/**
 * Returns the id under which the incarnation of an expired registration is recorded, among those that have left.
 *
 * Control VMs of the version before know no other record that would reach all of them and their snapshots. No endpoint
 * has such an id, since ids contain no control characters.
 */
EndpointId expiryRecordOf(const EndpointId& endpoint) { return EndpointId('\x1f' + endpoint.value()); }

/** Returns the incarnation that a departure is about. */
Incarnation leavingIncarnation(const ControlState& state, const EndpointDeparture& departure)
{
    if (departure.m_incarnation)
        return *departure.m_incarnation;
    if (const EndpointRecord* registered = findEndpoint(state, departure.m_endpoint))
        return registered->m_incarnation;
    const auto expired = state.m_leftEndpoints.find(expiryRecordOf(departure.m_endpoint));
    return expired != state.m_leftEndpoints.end() ? expired->second.m_incarnation : Incarnation();
}

/** Returns whether there is no room to record that another endpoint has left. */
bool isFullOfDepartures(const ControlState& state, const EndpointId& endpoint)
{
    return state.m_leftEndpoints.size() >= maxLeftEndpoints && state.m_leftEndpoints.count(endpoint) == 0;
}

/** Returns another endpoint that is registered with the same address, or null. */
const EndpointRecord* otherAtAddress(const PublishedState& published, const EndpointRecord& endpoint)
{
    for (const auto& [id, other] : published.m_endpoints) {
        if (id != endpoint.m_id && other.m_port == endpoint.m_port && other.m_address == endpoint.m_address)
            return &other;
    }
    return nullptr;
}

bool isConfigured(const PublishedState& published, const ServiceName& service)
{
    return published.m_routedServices.count(service) > 0 || published.m_services.count(service) > 0;
}

/**
 * Returns whether the endpoint has to leave an id or an address to the other one, whatever their incarnations.
 *
 * Callers are only sent to endpoints of configured services. A report of another writer may name any other service.
 */
bool yieldsTo(const ControlState& state, const EndpointRecord& endpoint, const EndpointRecord& other)
{
    return isConfigured(state.m_published, other.m_service) && !isConfigured(state.m_published, endpoint.m_service);
}

bool sameRegistration(const EndpointRecord& a, const EndpointRecord& b)
{
    return a.m_service == b.m_service && a.m_address == b.m_address && a.m_port == b.m_port && a.m_slots == b.m_slots
        && a.m_dataCentre == b.m_dataCentre;
}

/**
 * Decides on a heartbeat of an incarnation that has left.
 *
 * The record of its departure expires, so it is renewed while the incarnation still sends heartbeats. An earlier
 * incarnation may be a new start after the clock was set back, and is kept out only until the record expires.
 */
HeartbeatDecision decideAfterDeparture(const ControlState& state, const EndpointRecord& endpoint)
{
    HeartbeatDecision decision;
    decision.m_explanation = "late: this incarnation has left";
    const LeftEndpoint& left = state.m_leftEndpoints.at(endpoint.m_id);
    const Milliseconds age(state.m_logTime.value() - left.m_at.value());
    if (left.m_incarnation == endpoint.m_incarnation && age >= leftEndpointRetention / 2)
        decision.m_commands.push_back(RemoveEndpoints { { { endpoint.m_id, endpoint.m_incarnation, false } } });
    return decision;
}

/** Returns why the endpoint may not take the address of the other one, or nothing if it may. */
const char* addressRefusal(const ControlState& state, const EndpointRecord& endpoint, const EndpointRecord& other)
{
    if (yieldsTo(state, endpoint, other))
        return "ignored: no configuration names the service, and the address belongs to an endpoint of another one";
    if (other.m_incarnation > endpoint.m_incarnation && !yieldsTo(state, other, endpoint))
        return "late: the address belongs to an endpoint with a later incarnation";
    return nullptr;
}

/**
 * Registers an endpoint in place of any other one with its address.
 *
 * An earlier incarnation of the endpoint is recorded as having left. Otherwise a late heartbeat would register it when
 * the later one has expired, also if it had drained. The other one at the address is removed as if it had expired: if
 * it still runs and the new one does not, its heartbeats register it again once the new one has expired.
 */
HeartbeatDecision registerEndpoint(const ControlState& state, const EndpointRecord& endpoint, const char* explanation)
{
    HeartbeatDecision decision;
    decision.m_explanation = explanation;
    // A registration that is refused must not remove others first.
    const CommandResult check = detail::checkEndpoint(endpoint);
    if (check.m_code != ResultCode::Ok) {
        decision.m_refusal = check.m_code;
        decision.m_explanation = check.m_text;
        return decision;
    }
    const EndpointRecord* other = otherAtAddress(state.m_published, endpoint);
    if (const char* refusal = other ? addressRefusal(state, endpoint, *other) : nullptr) {
        decision.m_explanation = refusal;
        return decision;
    }
    const EndpointRecord* registered = findEndpoint(state, endpoint.m_id);
    if (registered && registered->m_incarnation != endpoint.m_incarnation) {
        // A later incarnation that gives way is not one that has left, since that would keep out the earlier one.
        const bool givesWay = registered->m_incarnation > endpoint.m_incarnation;
        decision.m_commands.push_back(RemoveEndpoints { { { endpoint.m_id, registered->m_incarnation, givesWay } } });
    }
    if (other)
        decision.m_commands.push_back(RemoveEndpoints { decideExpiry(*other) });
    decision.m_commands.push_back(RegisterEndpoint { endpoint, {} });
    return decision;
}

} // namespace

HeartbeatDecision decideHeartbeat(const ControlState& state, const EndpointHeartbeat& heartbeat)
{
    const EndpointRecord& endpoint = heartbeat.m_endpoint;
    HeartbeatDecision decision;
    if (hasLeft(state, endpoint.m_id, endpoint.m_incarnation))
        return decideAfterDeparture(state, endpoint);
    const EndpointRecord* registered = findEndpoint(state, endpoint.m_id);
    if (registered && yieldsTo(state, endpoint, *registered)) {
        decision.m_explanation
            = "ignored: no configuration names the service, and the id belongs to an endpoint of another one";
        return decision;
    }
    // A draining endpoint that is not registered needs no registration, since it gets no new calls. A record that it
    // has left also outlasts the registration of other incarnations and of other endpoints at its address.
    if (endpoint.m_draining && (!registered || registered->m_incarnation != endpoint.m_incarnation))
        return decideDeparture(state, { endpoint.m_id, endpoint.m_incarnation });
    if (!registered)
        return registerEndpoint(state, endpoint, "new endpoint");
    if (registered->m_incarnation > endpoint.m_incarnation && !yieldsTo(state, *registered, endpoint)) {
        decision.m_explanation = "late: a later incarnation is registered";
        return decision;
    }
    if (registered->m_incarnation != endpoint.m_incarnation)
        return registerEndpoint(state, endpoint, "new incarnation");
    decision.m_renews = true;
    if (endpoint.m_draining && !registered->m_draining) {
        decision.m_explanation = "endpoint is draining";
        decision.m_commands.push_back(DrainOwnEndpoint { endpoint.m_id, endpoint.m_incarnation });
    } else if (!sameRegistration(*registered, endpoint)) {
        return registerEndpoint(state, endpoint, "registration changed");
    }
    return decision;
}

HeartbeatDecision decideDeparture(const ControlState& state, const EndpointDeparture& departure)
{
    HeartbeatDecision decision;
    if (!detail::isValidName(departure.m_endpoint.value())) {
        decision.m_refusal = ResultCode::InvalidField;
        decision.m_explanation = "an endpoint id must have 1 to 128 characters";
        return decision;
    }
    const EndpointRecord* registered = findEndpoint(state, departure.m_endpoint);
    const Incarnation leaving = leavingIncarnation(state, departure);
    if (hasLeft(state, departure.m_endpoint, leaving)) {
        decision.m_explanation = "this incarnation has left already";
        return decision;
    }
    RemoveEndpoints removal;
    if (registered && registered->m_incarnation <= leaving) {
        decision.m_explanation = "endpoint is leaving";
        // The last target is the one that stays on record.
        if (registered->m_incarnation < leaving)
            removal.m_targets.push_back({ departure.m_endpoint, registered->m_incarnation, false });
    } else if (isFullOfDepartures(state, departure.m_endpoint)) {
        decision.m_refusal = ResultCode::Overloaded;
        decision.m_explanation = "too many departures are recorded";
        return decision;
    } else {
        decision.m_explanation = registered ? "endpoint of which a later incarnation is registered is leaving"
                                            : "endpoint that is not registered is leaving";
    }
    removal.m_targets.push_back({ departure.m_endpoint, leaving, false });
    decision.m_commands.push_back(std::move(removal));
    return decision;
}

std::vector<RemoveEndpoints::Target> decideExpiry(const EndpointRecord& endpoint)
{
    if (endpoint.m_draining)
        return { { endpoint.m_id, endpoint.m_incarnation, false } };
    return { { endpoint.m_id, endpoint.m_incarnation, true },
        { expiryRecordOf(endpoint.m_id), endpoint.m_incarnation, false } };
}

} // namespace flamingo
