#include "forward/crashsuspects.h"

#include "base/hash.h"
#include "routing/connectionshare.h"

#include <algorithm>
#include <utility>

namespace flamingo {

namespace {

// One that has ended suffices. A fan-out may lose many at once, to endpoints of which others have reported some.
constexpr std::size_t maxLostCalls = 16;

// A quarantined request is tried once after this time, when endpoints that ended with the others are mostly back.
constexpr Milliseconds trialDelay { 2000 };
// It is tried again after one more crash only much later, since each trial may cost an endpoint.
constexpr std::chrono::minutes trialInterval { 20 };

// Names one lifetime of the endpoint: with few endpoints, the same one may have crashed twice.
EndpointId lifetimeId(const LostEndpoint& endpoint)
{
    if (endpoint.m_incarnation.value() == 0)
        return endpoint.m_id;
    return EndpointId(endpoint.m_id.value() + "@" + std::to_string(endpoint.m_incarnation.value()));
}

// Returns the keys under which the request is quarantined.
std::vector<Fingerprint> quarantinedKeys(const ForwardState& state, Fingerprint request)
{
    std::vector<Fingerprint> keys;
    const auto& published = state.m_routing.m_state;
    if (!published || published->m_quarantine.empty())
        return keys;
    for (std::uint32_t lifted = 0; lifted <= FingerprintMemory::maxRefutations; ++lifted) {
        const Fingerprint key = suspectKey(request, lifted);
        if (published->m_quarantine.count(key) > 0)
            keys.push_back(key);
    }
    return keys;
}

CrashReport makeReport(ForwardState& state, const CrashSuspicion& request, EndpointId endpoint, Incarnation incarnation,
    const ServiceName& service)
{
    const auto suspect = state.m_fingerprints.m_suspects.find(request.m_fingerprint);
    return { { std::move(endpoint), incarnation, service, { suspect->second.m_key } }, request.m_fingerprint,
        request.m_request };
}

// A connection that ends now belongs to the latest lifetime: an earlier one would have ended it before.
Incarnation registeredIncarnation(const ForwardState& state, const EndpointId& endpoint)
{
    const RoutingTable& table = state.m_routing.m_table;
    const auto position = table.m_positions.find(endpoint);
    return position == table.m_positions.end() ? Incarnation()
                                               : table.m_endpoints[position->second.value()].m_incarnation;
}

// Has the quarantines with the keys cleared.
void refute(ForwardState& state, const std::vector<Fingerprint>& keys, MonotonicTime now)
{
    for (const Fingerprint key : keys) {
        if (state.m_fingerprints.m_lifted.count(key) == 0)
            state.m_refutedQuarantines.push_back(key);
        recordLifted(state.m_fingerprints, key, now);
    }
}

// Returns whether this is the one VM that tries the request.
bool isTrialVm(const RoutingTable& table, Fingerprint request)
{
    const std::uint64_t own = rendezvousScore(request.value(), table.m_vmHash);
    return std::none_of(table.m_vmHashes.begin(), table.m_vmHashes.end(),
        [&](std::uint64_t vm) { return rendezvousScore(request.value(), vm) > own; });
}

} // namespace

Fingerprint forwardFingerprint(const ForwardRequest& request)
{
    const std::uint64_t methodHash = hashBytes(request.m_method);
    const std::uint64_t hostHash = hashBytes(request.m_host, methodHash);
    const std::uint64_t targetHash = hashBytes(request.m_target, hostHash);
    const std::uint64_t bodyHash = hashBytes(request.m_body, targetHash);
    if (!request.m_partialAnswerAfter || request.m_route->m_shards.empty())
        return Fingerprint(bodyHash);
    return Fingerprint(hashBytes(request.m_route->m_shards.front().value(), bodyHash));
}

bool isQuarantined(ForwardState& state, Fingerprint fingerprint, MonotonicTime now)
{
    const std::vector<Fingerprint> keys = quarantinedKeys(state, fingerprint);
    const bool undecided = canaryRestriction(state.m_fingerprints, fingerprint, now) == CanaryRestriction::Refuse;
    if (keys.empty() && !undecided)
        return false;
    const bool isFinal = !keys.empty() && keys.back() == suspectKey(fingerprint, FingerprintMemory::maxRefutations);
    if (isFinal || !refuteQuarantine(state.m_fingerprints, fingerprint, now))
        return true;
    refute(state, keys, now);
    return false;
}

bool beginTrial(ForwardState& state, ForwardExecution& execution, MonotonicTime now)
{
    const std::vector<Fingerprint> keys = quarantinedKeys(state, execution.m_fingerprint);
    if (keys.empty() || !execution.m_request.m_route->m_shards.empty()
        || !isTrialVm(state.m_routing.m_table, execution.m_fingerprint))
        return false;
    MonotonicTime& nextTrialAt = state.m_nextTrials[keys.back()];
    if (now < nextTrialAt)
        return false;
    nextTrialAt = now + trialInterval;
    execution.m_trial = true;
    return true;
}

void repeatTrial(ForwardState& state, const ForwardExecution& execution, MonotonicTime now)
{
    if (!execution.m_trial)
        return;
    for (const Fingerprint key : quarantinedKeys(state, execution.m_fingerprint))
        state.m_nextTrials[key] = now + trialDelay;
}

void updateQuarantines(ForwardState& state, const PublishedState* before, MonotonicTime now)
{
    const auto& quarantines = state.m_routing.m_state->m_quarantine;
    if (before) {
        for (const auto& [key, record] : before->m_quarantine) {
            if (quarantines.count(key) > 0)
                continue;
            recordLifted(state.m_fingerprints, key, now);
            state.m_nextTrials.erase(key);
        }
    }
    for (const auto& [key, record] : quarantines) {
        if (before && before->m_quarantine.count(key) > 0)
            continue;
        // A VM that starts does not know whether the request was tried before.
        state.m_nextTrials[key] = now + (before ? Milliseconds(trialDelay) : Milliseconds(trialInterval));
        isQuarantined(state, key, now); // the first key of a request is its fingerprint
    }
}

bool isSuspect(const ForwardState& state, Fingerprint fingerprint)
{
    return state.m_fingerprints.m_suspects.count(fingerprint) > 0;
}

void recordLostCall(const ForwardState& state, ForwardExecution& execution, const ForwardCall& call,
    const ServiceName& service, CallOutcome outcome, MonotonicTime now)
{
    const bool disconnected = outcome == CallOutcome::ConnectionLost;
    const bool unanswered = outcome == CallOutcome::TimedOut || outcome == CallOutcome::Cancelled;
    if ((!disconnected && !unanswered) || execution.m_lostCalls.size() >= maxLostCalls)
        return;
    const Attempt& attempt = call.m_attempt;
    if (isEndpointKnown(state.m_routing, attempt)) {
        const EndpointRoute& route = state.m_routing.m_table.m_endpoints[attempt.m_endpoint.value()];
        const EndpointStats& stats = state.m_routing.m_endpoints[attempt.m_endpoint.value()];
        const bool answersOthers = stats.m_answeredAt > attempt.m_sentAt + (now - attempt.m_sentAt) / 2;
        if (route.m_draining || (unanswered && answersOthers))
            return;
    }
    LostEndpoint endpoint { attempt.m_endpointId, attempt.m_incarnation, service, call.m_address, call.m_port };
    if (disconnected)
        endpoint.m_incarnation = std::max(endpoint.m_incarnation, registeredIncarnation(state, endpoint.m_id));
    execution.m_lostCalls.push_back({ call.m_part, std::move(endpoint), now, disconnected });
}

bool provesSurvival(const ForwardRequest& request, const EndpointReply& reply)
{
    constexpr unsigned firstServerErrorStatus = 500;
    constexpr unsigned requestTimeout = 408;
    constexpr unsigned misdirected = 421;
    constexpr unsigned tooManyRequests = 429;
    const bool answersRequest = reply.m_outcome == CallOutcome::Answered && !reply.m_notRun && !reply.m_wrongEndpoint
        && reply.m_request == request.m_id;
    const bool turnedAway = reply.m_status >= firstServerErrorStatus || reply.m_status == requestTimeout
        || reply.m_status == misdirected || reply.m_status == tooManyRequests;
    return answersRequest && !turnedAway;
}

void recordSurvival(ForwardState& state, ForwardExecution& execution, std::size_t part, MonotonicTime now)
{
    execution.m_parts[part].m_survived = true;
    const bool byAll = std::all_of(
        execution.m_parts.begin(), execution.m_parts.end(), [](const ForwardPart& other) { return other.m_survived; });
    if (!byAll)
        return;
    recordSuccess(state.m_fingerprints, execution.m_fingerprint, now);
    if (execution.m_trial)
        refute(state, quarantinedKeys(state, execution.m_fingerprint), now);
}

void watchLostCalls(ForwardState& state, ForwardExecution& execution, MonotonicTime now)
{
    if (!execution.m_finished || execution.m_lostCalls.empty())
        return;
    if (!execution.m_suspicion) {
        CrashSuspicion suspicion { execution.m_request.m_id, execution.m_fingerprint, false };
        execution.m_suspicion = std::make_shared<CrashSuspicion>(std::move(suspicion));
    }
    for (const LostCall& call : std::exchange(execution.m_lostCalls, {})) {
        if (!execution.m_parts[call.m_part].m_survived)
            watchEndpoint(state.m_crashWatch, call, execution.m_suspicion);
    }
    updateCrashWatch(state.m_crashWatch, state.m_routing.m_table, now);
}

std::vector<CrashReport> reportCrashes(ForwardState& state, const EndpointVerdict& verdict, MonotonicTime now)
{
    std::vector<CrashReport> reports;
    if (verdict.m_fate != EndpointFate::Ended)
        return reports;
    const LostEndpoint& endpoint = verdict.m_endpoint.m_endpoint;
    for (const WatchedEndpoint::Suspicion& suspicion : verdict.m_endpoint.m_suspicions) {
        CrashSuspicion& request = *suspicion.m_request;
        if (hasSucceededSince(state.m_fingerprints, request.m_fingerprint, suspicion.m_lostAt)
            || std::exchange(request.m_reported, true))
            continue;
        recordCrash(state.m_fingerprints, request.m_fingerprint, lifetimeId(endpoint), now, crashReportTimeout);
        reports.push_back(makeReport(state, request, lifetimeId(endpoint), endpoint.m_incarnation, endpoint.m_service));
    }
    return reports;
}

std::vector<CrashReport> handleReportApplied(
    ForwardState& state, const CrashReport& report, bool quarantined, MonotonicTime now)
{
    recordReportApplied(state.m_fingerprints, report.m_fingerprint);
    std::vector<CrashReport> reports;
    if (quarantined)
        return reports;
    const CrashSuspicion request { report.m_request, report.m_fingerprint, true };
    for (const EndpointId& endpoint : takeIgnoredCrashes(state.m_fingerprints, report.m_fingerprint, now))
        reports.push_back(makeReport(state, request, endpoint, report.m_death.m_incarnation, report.m_death.m_service));
    return reports;
}

} // namespace flamingo
