#include "routing/attempt.h"

#include "routing/connectionshare.h"

#include <limits>

namespace flamingo {

namespace {

// An answer from another endpoint at the same address, or one with an unreadable limit, leaves the known limit in
// force.
bool statesRateLimit(const EndpointReply& reply)
{
    return reply.m_outcome == CallOutcome::Answered && !reply.m_wrongEndpoint && !reply.m_rateLimitMalformed;
}

// Returns for how long the endpoint wants no further call. One that answers 503 may have run the request all the same.
Milliseconds refusalTime(const EndpointReply& reply)
{
    constexpr unsigned unavailable = 503;
    const bool refuses = reply.m_notRun || reply.m_status == unavailable;
    return reply.m_outcome == CallOutcome::Answered && refuses && !reply.m_wrongEndpoint ? reply.m_retryAfter
                                                                                         : Milliseconds(0);
}

// Precondition: the endpoint is known.
void learnRateLimit(RoutingState& routing, const Attempt& attempt, const ServiceName& service,
    std::optional<RequestsPerSecond> limit, MonotonicTime now)
{
    EndpointRateLimit& rateLimit = routing.m_endpoints[attempt.m_endpoint.value()].m_rateLimit;
    const std::uint64_t score
        = rendezvousScore(routing.m_table.m_endpoints[attempt.m_endpoint.value()].m_idHash, routing.m_table.m_vmHash);
    const double phase = double(score) / double(std::numeric_limits<std::uint64_t>::max());
    const std::optional<RequestsPerSecond> before = rateLimit.m_limit;
    setRateLimit(rateLimit, limit, phase, now);
    reportRateLimit(routing.m_rateLimitReport, { attempt.m_endpointId, service, before, limit });
}

// Returns what the call says about the load that the endpoint can bear. An answer in the usual time from an endpoint
// with all slots in use says nothing: it can bear this load, but perhaps no more.
LoadSignal loadSignal(CallVerdict verdict, const CallEnd& end, const LatencyDistribution& latencies, double slowRatio)
{
    constexpr double median = 0.5;
    constexpr std::uint64_t minSamples = 20;
    switch (verdict) {
    case CallVerdict::Answered: {
        if (latencySamples(latencies) < minSamples)
            return LoadSignal::None;
        const auto usual = latencyQuantile(latencies, median);
        if (usual && double(end.m_elapsed.count()) > double(usual->count()) * slowRatio)
            return LoadSignal::Slow;
        return end.m_load.value_or(0.0) < 1.0 ? LoadSignal::Good : LoadSignal::None;
    }
    case CallVerdict::Shed:
    case CallVerdict::NotReached:
    case CallVerdict::Disconnected:
    case CallVerdict::Failed:
        return LoadSignal::Failed;
    case CallVerdict::LostRace:
        return LoadSignal::Slow;
    case CallVerdict::Abandoned:
        break;
    }
    return LoadSignal::None;
}

} // namespace

Attempt beginAttempt(RoutingState& routing, EndpointIndex endpoint, bool suspect, MonotonicTime now)
{
    const EndpointRoute& route = routing.m_table.m_endpoints[endpoint.value()];
    EndpointStats& stats = routing.m_endpoints[endpoint.value()];
    Attempt attempt;
    attempt.m_endpoint = endpoint;
    attempt.m_endpointId = route.m_id;
    attempt.m_incarnation = route.m_incarnation;
    attempt.m_generation = stats.m_generation;
    attempt.m_sentAt = now;
    attempt.m_open = true;
    attempt.m_probe = recordCallSent(stats, now);
    attempt.m_suspect = suspect;
    if (suspect)
        ++stats.m_suspectCalls;
    if (stats.m_rateLimit.m_limit) {
        ++routing.m_rateLimitReport.m_calls;
        countCall(stats.m_rateLimit, callingVms(routing.m_table, endpoint), now);
    }
    return attempt;
}

void endAttempt(RoutingState& routing, const ServiceName& service, Attempt& attempt, CallVerdict verdict,
    const EndpointReply* reply, MonotonicTime now)
{
    if (!attempt.m_open)
        return;
    attempt.m_open = false;
    CallEnd end;
    end.m_verdict = verdict;
    end.m_elapsed = std::chrono::duration_cast<Microseconds>(now - attempt.m_sentAt);
    end.m_suspect = attempt.m_suspect;
    end.m_probe = attempt.m_probe;
    if (reply) {
        end.m_retryAfter = refusalTime(*reply);
        if (reply->m_outcome == CallOutcome::Answered)
            end.m_load = reply->m_load;
    }
    if (reply && reply->m_leaving && !reply->m_wrongEndpoint)
        learnLeaving(routing, { attempt.m_endpointId, attempt.m_incarnation });
    ServiceStats& learned = serviceStats(routing, service);
    const bool ranLong = end.m_elapsed >= hedgeDelay(learned.m_latency, routing.m_settings);
    const bool timedOut = reply && reply->m_outcome == CallOutcome::TimedOut;
    if (verdict == CallVerdict::Answered || timedOut || (!reply && ranLong))
        addLatency(learned.m_latency, end.m_elapsed, now);
    if (verdict == CallVerdict::Shed)
        ++learned.m_counters.m_shed;
    EndpointStats* stats = statsOf(routing, attempt.m_endpoint, attempt.m_generation);
    if (!stats)
        return;
    const SlowStartSettings& slowStart = routing.m_settings.m_slowStart;
    if (slowStartShare(stats->m_slowStart, slowStart, now) < 1.0)
        end.m_loadSignal = loadSignal(verdict, end, learned.m_latency, slowStart.m_slowRatio);
    recordCallEnded(*stats, end, routing.m_settings, now);
    if (reply && reply->m_outcome == CallOutcome::Answered && !reply->m_wrongEndpoint)
        stats->m_answeredAt = now;
    if (reply && statesRateLimit(*reply))
        learnRateLimit(routing, attempt, service, reply->m_rateLimit, now);
}

bool isEndpointKnown(const RoutingState& routing, const Attempt& attempt)
{
    const std::size_t position = attempt.m_endpoint.value();
    return position < routing.m_endpoints.size() && routing.m_table.m_endpoints[position].m_present
        && routing.m_endpoints[position].m_generation == attempt.m_generation;
}

void setCallAddress(const RoutingState& routing, EndpointIndex endpoint, EndpointCall& call)
{
    const EndpointRoute& route = routing.m_table.m_endpoints[endpoint.value()];
    call.m_endpoint = route.m_id;
    call.m_address = route.m_address;
    call.m_port = route.m_port;
}

CallVerdict verdictOf(const EndpointReply& reply)
{
    switch (reply.m_outcome) {
    case CallOutcome::Answered:
        if (reply.m_notRun)
            return CallVerdict::Shed;
        return reply.m_status == 200 ? CallVerdict::Answered : CallVerdict::Failed;
    case CallOutcome::NotSent:
        return CallVerdict::NotReached;
    case CallOutcome::ConnectionLost:
        return CallVerdict::Disconnected;
    case CallOutcome::TimedOut:
        return CallVerdict::Failed;
    case CallOutcome::Cancelled:
        break;
    }
    return CallVerdict::Abandoned;
}

bool provesNotRun(const EndpointReply& reply)
{
    return reply.m_outcome == CallOutcome::NotSent || (reply.m_outcome == CallOutcome::Answered && reply.m_notRun);
}

} // namespace flamingo
