#include "daemon/forwardrunner.h"

#include "base/log.h"
#include "base/monotonictimer.h"
#include "endpoint/endpointclient.h"
#include "forward/crashsuspects.h"
#include "language/statement.h"
#include "metrics/callermetrics.h"

#include <boost/asio/post.hpp>

#include <vector>

namespace flamingo {

namespace {

const char* outcomeName(CallOutcome outcome)
{
    switch (outcome) {
    case CallOutcome::Answered:
        return "answered";
    case CallOutcome::NotSent:
        return "not sent";
    case CallOutcome::ConnectionLost:
        return "connection lost";
    case CallOutcome::TimedOut:
        return "timed out";
    case CallOutcome::Cancelled:
        return "cancelled";
    }
    return "unknown";
}

std::string millisecondsText(MonotonicClock::duration time)
{
    return std::to_string(std::chrono::duration_cast<Milliseconds>(time).count());
}

/** Returns the numbers of parts without an answer by state, for the log: "lost:2 busy:1 open:3". Empty without any. */
std::string unansweredText(const ForwardExecution& execution)
{
    std::size_t lost = 0;
    std::size_t busy = 0; // no call in flight, since no endpoint was free
    std::size_t open = 0; // a call in flight
    for (const ForwardPart& part : execution.m_parts) {
        if (part.m_state == ForwardPart::State::Lost)
            ++lost;
        else if (part.m_state == ForwardPart::State::Open)
            ++(part.m_openCalls > 0 ? open : busy);
    }
    if (lost + busy + open == 0)
        return {};
    return "lost:" + std::to_string(lost) + " busy:" + std::to_string(busy) + " open:" + std::to_string(open);
}

} // namespace

/** What is logged and measured of an answer. */
struct ForwardRunner::AnswerSummary {
    explicit AnswerSummary(const ForwardAnswer& answer)
        : m_code(answer.m_code)
        , m_status(answer.m_status)
        , m_shardCount(answer.m_shardCount)
        , m_missingShards(answer.m_missingShards)
        , m_calls(answer.m_calls)
        , m_text(answer.m_text)
    {
    }

    ResultCode m_code;
    unsigned m_status;
    std::uint32_t m_shardCount;
    std::uint32_t m_missingShards;
    std::uint32_t m_calls;
    std::string m_text;
};

struct ForwardRunner::Running {
    explicit Running(boost::asio::io_context& io)
        : m_timer(io)
    {
    }

    ForwardExecution m_execution;
    AnswerHandler m_handler;
    MonotonicTimer m_timer;
    MonotonicTime m_timerAt = MonotonicTime::max(); // expiry of m_timer; max() if it is not set
    std::map<AttemptNumber, std::pair<EndpointClient*, CallHandle>> m_calls; // calls in flight
    std::uint32_t m_hedges = 0;
    bool m_abandoned = false;
};

ForwardRunner::ForwardRunner(boost::asio::io_context& io, EndpointClient& endpointClient, EndpointClient& mergeClient,
    ForwardState& state, const ControlLoopProxy& control, MetricsRegistry& metrics)
    : m_io(io)
    , m_endpointClient(endpointClient)
    , m_mergeClient(mergeClient)
    , m_state(state)
    , m_crashReporter(io, state, control)
    , m_metrics(metrics)
{
}

ForwardRunner::~ForwardRunner() = default;

ExecutionId ForwardRunner::start(ForwardRequest request, AnswerHandler handler)
{
    ++m_counters.m_requests;
    const auto running = std::make_shared<Running>(m_io);
    const ExecutionId id(++m_lastExecution);
    running->m_execution.m_id = id;
    running->m_execution.m_request = std::move(request);
    running->m_handler = std::move(handler);
    m_running[id] = running;
    ForwardEffects effects = startForward(m_state, running->m_execution, monotonicNow());
    if (running->m_execution.m_trial)
        FLAMINGO_LOG(Info, "quarantined request tried", { "request_id", running->m_execution.m_request.m_id.value() },
            { "fingerprint", printFingerprint(running->m_execution.m_fingerprint) });
    carryOut(running, std::move(effects));
    return id;
}

std::optional<ExecutionId> ForwardRunner::resume(const MergeResumeCall& call, AnswerHandler handler)
{
    const auto paused = m_paused.find({ call.m_request, call.m_firstShard });
    if (paused == m_paused.end())
        return std::nullopt;
    const ExecutionId id = paused->second;
    m_paused.erase(paused);
    const RunningPtr running = m_running.at(id);
    running->m_handler = std::move(handler);
    carryOut(running, resumeForward(m_state, running->m_execution, call.m_goalLeft, monotonicNow()));
    return id;
}

void ForwardRunner::erase(const Running& running)
{
    const ForwardRequest& request = running.m_execution.m_request;
    const auto paused = request.m_partialAnswerAfter
        ? m_paused.find({ request.m_id, request.m_route->m_shards.front() })
        : m_paused.end();
    if (paused != m_paused.end() && paused->second == running.m_execution.m_id)
        m_paused.erase(paused);
    m_running.erase(running.m_execution.m_id);
}

void ForwardRunner::abandon(ExecutionId execution)
{
    const auto found = m_running.find(execution);
    if (found == m_running.end())
        return;
    const RunningPtr running = found->second;
    erase(*running);
    ++m_counters.m_abandoned;
    running->m_abandoned = true;
    running->m_timer.cancel();
    abandonForward(m_state, running->m_execution);
    watchLostCalls(running->m_execution);
    FLAMINGO_LOG(Info, "caller disconnected", { "request_id", running->m_execution.m_request.m_id.value() },
        { "open_calls", std::to_string(running->m_calls.size()) });
    const auto calls = running->m_calls;
    for (const auto& [attempt, call] : calls)
        call.first->cancel(call.second);
}

void ForwardRunner::carryOut(const RunningPtr& running, ForwardEffects effects)
{
    for (const AttemptNumber attempt : effects.m_cancelUnsent)
        cancelUnsent(*running, attempt);
    for (ForwardEffects::Send& call : effects.m_sends)
        send(running, std::move(call));
    if (effects.m_answer)
        finish(running, std::move(*effects.m_answer));
    else if (running->m_execution.m_finished)
        erase(*running);
    watchLostCalls(running->m_execution);
    if (effects.m_nextTimerAt && !running->m_execution.m_finished)
        setTimer(running, *effects.m_nextTimerAt);
    for (const ExecutionId execution : effects.m_unblocked) {
        // Posted rather than called, since the woken execution may in turn wake others.
        boost::asio::post(m_io, [this, execution] { wake(execution); });
    }
}

void ForwardRunner::send(const RunningPtr& running, ForwardEffects::Send effect)
{
    ++m_counters.m_calls;
    const AttemptNumber attempt = effect.m_attempt;
    const ForwardExecution& execution = running->m_execution;
    const ForwardPart& part = execution.m_parts.at(execution.m_calls.at(attempt.value()).m_part);
    const std::string used = std::to_string(part.m_attempts.m_used);
    const std::string allowed = std::to_string(part.m_attempts.m_allowed);
    if (effect.m_hedge || effect.m_call.m_recentlyActiveConnection) {
        m_counters.m_hedges += effect.m_hedge ? 1 : 0;
        running->m_hedges += effect.m_hedge ? 1 : 0;
        FLAMINGO_LOG(Info, effect.m_hedge ? "hedge sent" : "retry sent",
            { "request_id", effect.m_call.m_request.value() }, { "attempt", std::to_string(attempt.value()) },
            { "endpoint", effect.m_call.m_endpoint.value() }, { "attempts_used", used },
            { "attempts_allowed", allowed },
            { "age_ms", millisecondsText(monotonicNow() - execution.m_request.m_receivedAt) });
    }
    if (part.m_relay) {
        ++m_counters.m_relayed;
        FLAMINGO_LOG(Info, "request relayed", { "request_id", effect.m_call.m_request.value() },
            { "attempt", std::to_string(attempt.value()) }, { "vm", effect.m_call.m_endpoint.value() },
            { "attempts_used", used }, { "attempts_allowed", allowed },
            { "age_ms", millisecondsText(monotonicNow() - execution.m_request.m_receivedAt) });
    }
    const auto handler
        = [this, running, attempt](EndpointReply reply) { handleReply(running, attempt, std::move(reply)); };
    EndpointClient& client = effect.m_toVm ? m_mergeClient : m_endpointClient;
    running->m_calls[attempt] = { &client, client.start(std::move(effect.m_call), handler) };
}

void ForwardRunner::watchLostCalls(ForwardExecution& execution)
{
    if (!execution.m_lostCalls.empty())
        flamingo::watchLostCalls(m_state, execution, monotonicNow());
    m_crashReporter.update();
}

void ForwardRunner::cancelUnsent(const Running& running, AttemptNumber attempt)
{
    const auto call = running.m_calls.find(attempt);
    if (call != running.m_calls.end())
        call->second.first->cancelUnsent(call->second.second);
}

void ForwardRunner::handleReply(const RunningPtr& running, AttemptNumber attempt, EndpointReply reply)
{
    running->m_calls.erase(attempt);
    constexpr unsigned firstErrorStatus = 400;
    if (reply.m_outcome != CallOutcome::Answered || reply.m_status >= firstErrorStatus)
        logFailedCall(*running, attempt, reply);
    carryOut(running, handleForwardReply(m_state, running->m_execution, attempt, std::move(reply), monotonicNow()));
}

void ForwardRunner::logFailedCall(const Running& running, AttemptNumber attempt, const EndpointReply& reply) const
{
    if (running.m_abandoned)
        return;
    const Attempt& call = running.m_execution.m_calls.at(attempt.value()).m_attempt;
    FLAMINGO_LOG(Info, "call failed", { "request_id", running.m_execution.m_request.m_id.value() },
        { "attempt", std::to_string(attempt.value()) }, { "endpoint", call.m_endpointId.value() },
        { "outcome", outcomeName(reply.m_outcome) }, { "status", std::to_string(reply.m_status) },
        { "not_run", provesNotRun(reply) || reply.m_wrongEndpoint ? "yes" : "no" },
        { "elapsed_ms", millisecondsText(monotonicNow() - call.m_sentAt) }, { "reason", reply.m_text });
}

void ForwardRunner::setTimer(const RunningPtr& running, MonotonicTime at)
{
    if (at == running->m_timerAt)
        return;
    running->m_timerAt = at;
    running->m_timer.expires_at(at);
    running->m_timer.async_wait([this, running, at](const boost::system::error_code& error) {
        if (error || running->m_timerAt != at || running->m_execution.m_finished)
            return;
        running->m_timerAt = MonotonicTime::max();
        carryOut(running, handleForwardTimer(m_state, running->m_execution, monotonicNow()));
    });
}

void ForwardRunner::wake(ExecutionId execution)
{
    const auto found = m_running.find(execution);
    if (found == m_running.end())
        return;
    const RunningPtr running = found->second;
    carryOut(running, handleForwardTimer(m_state, running->m_execution, monotonicNow()));
}

void ForwardRunner::reconsiderAll()
{
    std::vector<ExecutionId> executions;
    for (const auto& [id, running] : m_running)
        executions.push_back(id);
    for (const ExecutionId execution : executions)
        wake(execution);
}

void ForwardRunner::answerAllBy(MonotonicTime time)
{
    m_state.m_answerAllBy = time;
    for (const auto& [id, running] : m_running)
        running->m_execution.m_deadline = std::min(running->m_execution.m_deadline, time);
    reconsiderAll();
}

void ForwardRunner::finish(const RunningPtr& running, ForwardAnswer answer)
{
    running->m_timer.cancel();
    running->m_timerAt = MonotonicTime::max();
    const ForwardRequest& request = running->m_execution.m_request;
    if (answer.m_moreFollows)
        m_paused[{ request.m_id, request.m_route->m_shards.front() }] = running->m_execution.m_id;
    else
        erase(*running);
    m_counters.m_quarantined += answer.m_code == ResultCode::Quarantined ? 1 : 0;
    m_counters.m_refusedForRoom += answer.m_code == ResultCode::Overloaded ? 1 : 0;
    const auto elapsed = monotonicNow() - request.m_receivedAt;
    const AnswerSummary summary(answer);
    const AnswerHandler handler = std::move(running->m_handler);
    running->m_handler = nullptr;
    handler(std::move(answer));
    updateGoalLag(running->m_execution);
    // After the answer has been sent, since on a VM with little processor time it would be late otherwise.
    logAnswer(*running, summary, elapsed);
    if (!request.m_partialAnswerAfter && !request.m_relayed)
        recordMetrics(running->m_execution, summary, std::chrono::duration_cast<Microseconds>(elapsed));
}

void ForwardRunner::logAnswer(const Running& running, const AnswerSummary& answer, MonotonicClock::duration elapsed)
{
    const ForwardRequest& request = running.m_execution.m_request;
    FLAMINGO_LOG(Info, "request answered", { "request_id", request.m_id.value() }, { "route", request.m_route->m_name },
        { "customer", request.m_customer.value() }, { "priority", std::to_string(request.m_priority) },
        { "version", std::to_string(request.m_version.value()) },
        { "code", std::to_string(static_cast<int>(answer.m_code)) }, { "status", std::to_string(answer.m_status) },
        { "shards", std::to_string(answer.m_shardCount) }, { "missing", std::to_string(answer.m_missingShards) },
        { "unanswered", unansweredText(running.m_execution) }, { "calls", std::to_string(answer.m_calls) },
        { "hedges", std::to_string(running.m_hedges) }, { "for_other_vm", request.m_relayed ? "yes" : "no" },
        { "elapsed_ms", millisecondsText(elapsed) }, { "reason", answer.m_text });
}

// Updates the delay between the planned and the actual time of answers due at the goal. On a VM with little processor
// time many answers due at once are late, so answers are planned earlier by this delay.
void ForwardRunner::updateGoalLag(const ForwardExecution& execution)
{
    constexpr Microseconds maxLag { 30000 };
    constexpr int decayDivisor = 16;
    const auto lag = std::chrono::duration_cast<Microseconds>(monotonicNow() - execution.m_goalAt);
    if (execution.m_request.m_partialAnswerAfter || lag < Microseconds(0) || lag > maxLag)
        return;
    m_state.m_goalLag = std::max(lag, m_state.m_goalLag - m_state.m_goalLag / decayDivisor);
}

void ForwardRunner::recordMetrics(const ForwardExecution& execution, const AnswerSummary& answer, Microseconds elapsed)
{
    const Route& route = *execution.m_request.m_route;
    CallerMetrics& metrics
        = m_metrics.find(ServiceName(route.m_name), CallerClass("priority-" + std::to_string(route.m_priority)));
    QueryMeasurement measurement;
    measurement.m_code = answer.m_code;
    measurement.m_seconds = std::chrono::duration<double>(elapsed).count();
    measurement.m_coverage = answer.m_shardCount == 0
        ? 0.0
        : double(answer.m_shardCount - answer.m_missingShards) / double(answer.m_shardCount);
    measurement.m_endpointRequests = answer.m_calls;
    measurement.m_shards = answer.m_shardCount;
    metrics.recordQuery(measurement);
}

} // namespace flamingo
