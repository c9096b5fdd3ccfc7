#include "daemon/requestrunner.h"

#include "base/log.h"
#include "daemon/refusedanswer.h"
#include "endpoint/endpointclient.h"

#include <boost/asio/post.hpp>

namespace flamingo {

RequestRunner::RequestRunner(boost::asio::io_context& io, EndpointClient& endpointClient, LoopState& loop,
    const EntryLoopSettings& settings, const ControlLoopProxy& control, DaemonMetrics& metrics)
    : m_io(io)
    , m_endpointClient(endpointClient)
    , m_loop(loop)
    , m_settings(settings)
    , m_control(control)
    , m_metrics(metrics)
{
}

void RequestRunner::start(CallerRequest request, AnswerHandler handler)
{
    const MonotonicTime now = monotonicNow();
    Reason reason { ResultCode::UnknownService, "unknown service " + request.m_service.value() };
    if (findService(m_loop.m_routing.m_table, request.m_service) == nullptr) {
        handler(refusedAnswer<CallerAnswer>(request.m_id, reason));
        return;
    }
    if (m_running.size() >= m_settings.m_maxRequests) {
        handler(refusedAnswer<CallerAnswer>(request.m_id,
            { ResultCode::Overloaded, "this VM already runs as many concurrent requests as its settings allow" }));
        return;
    }
    Admission& admission = serviceAdmission(m_loop, m_settings, request.m_service);
    const auto countedIn = admitExecution(admission, request.m_callerClass, now, reason);
    if (!countedIn) {
        CallerAnswer answer = refusedAnswer<CallerAnswer>(request.m_id, reason);
        answer.m_retryAfter = admission.m_settings.m_retryAfter;
        handler(std::move(answer));
        return;
    }
    auto running = std::make_shared<Running>(m_io);
    const ExecutionId id(++m_loop.m_lastExecution);
    running->m_execution = makeRequestExecution(id, std::move(request));
    running->m_handler = std::move(handler);
    running->m_countedIn = *countedIn;
    running->m_startedAt = now;
    m_running[id] = running;
    step(running, RequestStarted {});
}

void RequestRunner::stateChanged()
{
    // Iterates over a copy, since a step may finish executions and remove them.
    std::vector<RunningPtr> all;
    all.reserve(m_running.size());
    for (const auto& [id, running] : m_running)
        all.push_back(running);
    for (const RunningPtr& running : all)
        step(running, StateChanged {});
}

void RequestRunner::wake(ExecutionId execution, EndpointIndex endpoint)
{
    const auto found = m_running.find(execution);
    if (found != m_running.end())
        step(RunningPtr(found->second), CapacityFreed { endpoint });
}

void RequestRunner::step(const RunningPtr& running, RequestEvent event)
{
    if (isRequestOver(running->m_execution))
        return;
    const MonotonicTime now = monotonicNow();
    RequestContext context { m_loop.m_routing, m_loop.m_fingerprints, m_loop.m_random, m_requestSettings,
        m_settings.m_vm, m_settings.m_incarnation, wallClock(), m_control.m_lease->valid(now) };
    carryOut(running, stepRequest(running->m_execution, std::move(event), context, now));
    if (isRequestOver(running->m_execution))
        m_running.erase(running->m_execution.m_id);
}

void RequestRunner::carryOut(const RunningPtr& running, RequestEffects effects)
{
    for (RequestEffect& effect : effects) {
        if (auto* claim = std::get_if<OpenClaim>(&effect)) {
            openClaim(running, std::move(*claim));
        } else if (auto* settle = std::get_if<SettleClaim>(&effect)) {
            settleClaim(running, std::move(*settle));
        } else if (auto* call = std::get_if<SendCall>(&effect)) {
            send(running, std::move(call->m_call));
        } else if (const auto* cancel = std::get_if<CancelCall>(&effect)) {
            const auto handle = running->m_calls.find(cancel->m_attempt);
            if (handle != running->m_calls.end())
                m_endpointClient.cancel(handle->second);
        } else if (const auto* timer = std::get_if<SetTimer>(&effect)) {
            setTimer(running, timer->m_at);
        } else if (auto* finished = std::get_if<FinishRequest>(&effect)) {
            finishOnceRecorded(running, std::move(finished->m_answer));
        } else if (auto* report = std::get_if<ReportDeath>(&effect)) {
            reportDeath(running, std::move(*report));
        } else if (const auto* success = std::get_if<MarkSuccess>(&effect)) {
            submit(ClearSuspect { success->m_fingerprint });
        } else if (const auto* other = std::get_if<WakeExecution>(&effect)) {
            m_loop.m_wake(other->m_execution, other->m_endpoint);
        }
    }
}

// The control client resends the claim to the next leader until the timeout and then gives it up, so that the result
// passed to the execution is final.
void RequestRunner::openClaim(const RunningPtr& running, OpenClaim claim)
{
    Command command;
    command.m_body = std::move(claim);
    const auto remaining
        = std::chrono::duration_cast<Milliseconds>(running->m_execution.m_deadline - running->m_startedAt);
    m_control.m_submit(
        std::move(command), std::min(remaining, m_settings.m_commandTimeout), [this, running](CommandResult result) {
            boost::asio::post(m_io, [this, running, result = std::move(result)] {
                step(running, ClaimDecided { result.m_claimOpened, result });
            });
        });
}

void RequestRunner::send(const RunningPtr& running, EndpointCall call)
{
    const AttemptNumber attempt = call.m_attempt;
    running->m_calls[attempt] = m_endpointClient.start(std::move(call), [this, running, attempt](EndpointReply reply) {
        running->m_calls.erase(attempt);
        step(running, CallReplied { attempt, std::move(reply) });
    });
}

void RequestRunner::setTimer(const RunningPtr& running, MonotonicTime at)
{
    running->m_timer.expires_at(at);
    running->m_timer.async_wait([this, running](const boost::system::error_code& error) {
        if (!error)
            step(running, TimerExpired {});
    });
}

void RequestRunner::reportDeath(const RunningPtr& running, ReportDeath report)
{
    FLAMINGO_LOG(Warning, "connection closed by endpoint during call", { "endpoint", report.m_endpoint },
        { "service", report.m_service }, LogField(running->m_execution.m_request.m_id));
    const Fingerprint fingerprint = running->m_execution.m_fingerprint;
    Command command;
    command.m_body = std::move(report);
    m_control.m_submit(
        std::move(command), m_settings.m_commandTimeout, [this, running, fingerprint](const CommandResult& result) {
            if (result.m_code != ResultCode::Ok)
                return;
            const bool quarantined = !result.m_text.empty();
            boost::asio::post(m_io, [this, running, fingerprint, quarantined] {
                recordReportApplied(m_loop.m_fingerprints, fingerprint);
                step(running, QuarantineDecided { quarantined });
            });
        });
}

void RequestRunner::settleClaim(const RunningPtr& running, SettleClaim settle)
{
    if (settle.m_outcome != ClaimOutcome::Done)
        return submit(std::move(settle));
    running->m_recording = true;
    Command command;
    command.m_body = std::move(settle);
    m_control.m_submit(std::move(command), m_settings.m_commandTimeout, [this, running](const CommandResult& result) {
        const bool recorded = result.m_code == ResultCode::Ok;
        boost::asio::post(m_io, [this, running, recorded] {
            running->m_recording = false;
            releaseAnswer(running, recorded);
        });
    });
}

// A successful answer is sent to the caller only once it is recorded. Otherwise, if this VM then failed, a caller that
// resends the request through another VM would get OutcomeUnknown after a success.
void RequestRunner::finishOnceRecorded(const RunningPtr& running, CallerAnswer answer)
{
    if (!running->m_recording)
        return finish(running, std::move(answer));
    running->m_unrecordedAnswer = std::move(answer);
    running->m_timer.expires_at(running->m_execution.m_deadline);
    running->m_timer.async_wait([this, running](const boost::system::error_code& error) {
        if (!error)
            releaseAnswer(running, false);
    });
}

void RequestRunner::releaseAnswer(const RunningPtr& running, bool recorded)
{
    if (!running->m_unrecordedAnswer)
        return;
    CallerAnswer answer = std::move(*running->m_unrecordedAnswer);
    running->m_unrecordedAnswer.reset();
    if (!recorded) {
        answer.m_code = ResultCode::StillRunning;
        answer.m_text = "the request ran, but its answer is not recorded yet; send it again under the same request id";
    }
    finish(running, std::move(answer));
}

void RequestRunner::submit(CommandBody body)
{
    Command command;
    command.m_body = std::move(body);
    m_control.m_submit(std::move(command), m_settings.m_commandTimeout, nullptr);
}

void RequestRunner::finish(const RunningPtr& running, CallerAnswer answer)
{
    running->m_timer.cancel();
    const MonotonicTime now = monotonicNow();
    const auto elapsed = std::chrono::duration_cast<Microseconds>(now - running->m_startedAt);
    const ServiceName service = running->m_execution.m_request.m_service;
    endExecution(serviceAdmission(m_loop, m_settings, service), running->m_countedIn,
        running->m_execution.m_longestWait, elapsed, now);
    m_metrics.recordRequest(service, running->m_countedIn, answer.m_code, elapsed);
    running->m_handler(std::move(answer));
}

} // namespace flamingo
