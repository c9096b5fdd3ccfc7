#include "daemon/queryrunner.h"

#include "base/log.h"
#include "daemon/refusedanswer.h"
#include "endpoint/endpointclient.h"

#include <boost/asio/post.hpp>

namespace flamingo {

Admission& serviceAdmission(LoopState& loop, const EntryLoopSettings& settings, const ServiceName& service)
{
    const auto found = loop.m_admission.find(service);
    if (found != loop.m_admission.end())
        return found->second;
    Admission& admission = loop.m_admission[service] = makeAdmission(AdmissionSettings {});
    for (const auto& [callerClass, weight] : settings.m_classWeights)
        setClassWeight(admission, callerClass, weight);
    return admission;
}

QueryRunner::QueryRunner(boost::asio::io_context& io, EndpointClient& endpointClient, LoopState& loop,
    const EntryLoopSettings& settings, const ControlLoopProxy& control, DaemonMetrics& metrics)
    : m_io(io)
    , m_endpointClient(endpointClient)
    , m_loop(loop)
    , m_settings(settings)
    , m_control(control)
    , m_metrics(metrics)
{
}

QueryRunner::~QueryRunner() = default;

void QueryRunner::start(QueryRequest request, AnswerHandler handler)
{
    const MonotonicTime now = monotonicNow();
    Reason reason;
    if (findService(m_loop.m_routing.m_table, request.m_service) == nullptr) {
        reason = Reason { ResultCode::UnknownService, "unknown service " + request.m_service.value() };
        handler(refusedAnswer<QueryAnswer>(request.m_id, reason));
        return;
    }
    if (m_running.size() >= m_settings.m_maxQueries) {
        handler(refusedAnswer<QueryAnswer>(request.m_id,
            { ResultCode::Overloaded, "this VM already runs as many concurrent queries as its settings allow" }));
        return;
    }
    Admission& admission = serviceAdmission(m_loop, m_settings, request.m_service);
    const auto countedIn = admitExecution(admission, request.m_callerClass, now, reason);
    if (!countedIn) {
        QueryAnswer answer = refusedAnswer<QueryAnswer>(request.m_id, reason);
        answer.m_retryAfter = admission.m_settings.m_retryAfter;
        handler(std::move(answer));
        return;
    }
    auto running = std::make_shared<Running>(m_io);
    const ExecutionId id(++m_loop.m_lastExecution);
    running->m_execution = makeQueryExecution(id, std::move(request));
    running->m_handler = std::move(handler);
    running->m_countedIn = *countedIn;
    running->m_startedAt = now;
    m_running[id] = running;
    step(running, QueryStarted {});
}

void QueryRunner::stateChanged()
{
    // Iterates over a copy, since a step may finish executions and remove them.
    std::vector<RunningPtr> all;
    all.reserve(m_running.size());
    for (const auto& [id, running] : m_running)
        all.push_back(running);
    for (const RunningPtr& running : all)
        step(running, StateChanged {});
}

void QueryRunner::wake(ExecutionId execution, EndpointIndex endpoint)
{
    const auto found = m_running.find(execution);
    if (found != m_running.end())
        step(RunningPtr(found->second), CapacityFreed { endpoint });
}

void QueryRunner::step(const RunningPtr& running, QueryEvent event)
{
    if (running->m_execution.m_phase == QueryPhase::Finished)
        return;
    const MonotonicTime now = monotonicNow();
    QueryContext context { m_loop.m_routing, m_loop.m_fingerprints, m_loop.m_random, m_querySettings,
        m_control.m_lease->valid(now) };
    carryOut(running, stepQuery(running->m_execution, std::move(event), context, now));
}

void QueryRunner::carryOut(const RunningPtr& running, QueryEffects effects)
{
    for (QueryEffect& effect : effects) {
        if (auto* call = std::get_if<SendCall>(&effect)) {
            send(running, std::move(*call));
        } else if (const auto* cancel = std::get_if<CancelCall>(&effect)) {
            const auto handle = running->m_calls.find(cancel->m_attempt);
            if (handle != running->m_calls.end())
                m_endpointClient.cancel(handle->second);
        } else if (const auto* timer = std::get_if<SetTimer>(&effect)) {
            setTimer(running, timer->m_at);
        } else if (auto* finished = std::get_if<FinishQuery>(&effect)) {
            finish(running, std::move(finished->m_answer));
        } else if (auto* report = std::get_if<ReportDeath>(&effect)) {
            reportDeath(running, std::move(*report));
        } else if (const auto* success = std::get_if<MarkSuccess>(&effect)) {
            Command command;
            command.m_body = ClearSuspect { success->m_fingerprint };
            m_control.m_submit(std::move(command), m_settings.m_commandTimeout, nullptr);
        } else if (const auto* other = std::get_if<WakeExecution>(&effect)) {
            m_loop.m_wake(other->m_execution, other->m_endpoint);
        }
    }
}

void QueryRunner::send(const RunningPtr& running, SendCall effect)
{
    const AttemptNumber attempt = effect.m_call.m_attempt;
    const auto handler = [this, running, attempt](EndpointReply reply) {
        running->m_calls.erase(attempt);
        step(running, CallReplied { attempt, std::move(reply) });
    };
    running->m_calls[attempt] = m_endpointClient.start(std::move(effect.m_call), handler);
}

void QueryRunner::setTimer(const RunningPtr& running, MonotonicTime at)
{
    running->m_timer.expires_at(at);
    running->m_timer.async_wait([this, running](const boost::system::error_code& error) {
        if (!error)
            step(running, TimerExpired {});
    });
}

void QueryRunner::finish(const RunningPtr& running, QueryAnswer answer)
{
    running->m_timer.cancel();
    const MonotonicTime now = monotonicNow();
    const auto elapsed = std::chrono::duration_cast<Microseconds>(now - running->m_startedAt);
    const QueryRequest& request = running->m_execution.m_request;
    endExecution(serviceAdmission(m_loop, m_settings, request.m_service), running->m_countedIn,
        running->m_execution.m_longestWait, elapsed, now);
    m_metrics.recordQuery(request.m_service, running->m_countedIn, answer, elapsed);
    m_running.erase(running->m_execution.m_id);
    running->m_handler(std::move(answer));
}

void QueryRunner::reportDeath(const RunningPtr& running, ReportDeath report)
{
    FLAMINGO_LOG(Warning, "connection closed by endpoint during call", { "endpoint", report.m_endpoint.value() },
        { "service", report.m_service.value() }, { "request_id", running->m_execution.m_request.m_id.value() });
    const Fingerprint fingerprint = running->m_execution.m_fingerprint;
    const ExecutionId execution = running->m_execution.m_id;
    Command command;
    command.m_body = std::move(report);
    m_control.m_submit(
        std::move(command), m_settings.m_commandTimeout, [this, execution, fingerprint](CommandResult result) {
            boost::asio::post(m_io, [this, execution, fingerprint, result = std::move(result)] {
                handleQuarantineDecision(execution, fingerprint, result);
            });
        });
}

void QueryRunner::handleQuarantineDecision(ExecutionId execution, Fingerprint fingerprint, const CommandResult& result)
{
    // If the report was not applied, the decision stays pending until FingerprintMemory::reportTimeout.
    if (result.m_code != ResultCode::Ok)
        return;
    recordReportApplied(m_loop.m_fingerprints, fingerprint);
    const auto found = m_running.find(execution);
    if (found != m_running.end())
        step(RunningPtr(found->second), QuarantineDecided { !result.m_text.empty() });
}

} // namespace flamingo
