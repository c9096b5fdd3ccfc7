#include "daemon/requestrunner.h"

#include "base/log.h"
#include "endpoint/endpointclient.h"

#include <boost/asio/post.hpp>

namespace flamingo {

namespace {

MonotonicTime clockNow() { return std::chrono::steady_clock::now(); }

CallerAnswer refusal(const CallerRequest& request, const Reason& reason)
{
    CallerAnswer answer;
    answer.m_code = reason.m_code;
    answer.m_text = reason.m_text;
    answer.m_id = request.m_id;
    return answer;
}

} // namespace

RequestRunner::RequestRunner(boost::asio::io_context& io, EndpointClient& client, LoopState& loop,
    const EntryLoopSettings& settings, const ControlPort& control, EntryMetrics& metrics)
    : m_io(io)
    , m_client(client)
    , m_loop(loop)
    , m_settings(settings)
    , m_control(control)
    , m_metrics(metrics)
{
}

void RequestRunner::start(CallerRequest request, AnswerHandler handler)
{
    const MonotonicTime now = clockNow();
    Reason reason { ResultCode::UnknownService, "unknown service " + request.m_service.value() };
    if (findService(m_loop.m_routing.m_table, request.m_service) == nullptr) {
        handler(refusal(request, reason));
        return;
    }
    Admission& admission = serviceAdmission(m_loop, m_settings, request.m_service);
    const auto countedIn = admitExecution(admission, request.m_callerClass, now, reason);
    if (!countedIn) {
        CallerAnswer answer = refusal(request, reason);
        answer.m_retryAfter = admission.m_settings.m_retryAfter;
        handler(std::move(answer));
        return;
    }
    auto running = std::make_shared<Running>(m_io);
    running->m_execution = makeRequestExecution(ExecutionId(++m_lastExecution), std::move(request));
    running->m_handler = std::move(handler);
    running->m_countedIn = *countedIn;
    running->m_startedAt = now;
    step(running, RequestStarted {});
}

void RequestRunner::step(const RunningPtr& running, RequestEvent event)
{
    const MonotonicTime now = clockNow();
    RequestContext context { m_loop.m_routing, m_loop.m_fingerprints, m_loop.m_random, m_control.m_lease->valid(now) };
    carryOut(running, stepRequest(running->m_execution, std::move(event), context, now));
}

void RequestRunner::carryOut(const RunningPtr& running, RequestEffects effects)
{
    for (RequestEffect& effect : effects) {
        if (auto* claim = std::get_if<AskClaim>(&effect)) {
            askClaim(running, std::move(claim->m_claim));
        } else if (auto* call = std::get_if<SendRequestCall>(&effect)) {
            send(running, std::move(call->m_call));
        } else if (const auto* cancel = std::get_if<CancelRequestCall>(&effect)) {
            const auto handle = running->m_calls.find(cancel->m_attempt);
            if (handle != running->m_calls.end())
                m_client.cancel(handle->second);
        } else if (const auto* timer = std::get_if<SetRequestTimer>(&effect)) {
            setTimer(running, timer->m_at);
        } else if (const auto* success = std::get_if<RequestSucceeded>(&effect)) {
            submit(ClearSuspect { success->m_fingerprint });
        } else if (auto* settle = std::get_if<SettleClaim>(&effect)) {
            settleClaim(running, std::move(*settle));
        } else if (auto* report = std::get_if<ReportDeath>(&effect)) {
            reportDeath(running, std::move(*report));
        } else if (auto* finished = std::get_if<FinishRequest>(&effect)) {
            finish(running, std::move(finished->m_answer));
        }
    }
}

void RequestRunner::askClaim(const RunningPtr& running, OpenClaim claim)
{
    Command command;
    command.m_body = std::move(claim);
    const auto remaining
        = std::chrono::duration_cast<Milliseconds>(running->m_execution.m_deadline - running->m_startedAt);
    m_control.m_submit(
        std::move(command), std::min(remaining, m_settings.m_commandTimeout), [this, running](CommandResult result) {
            boost::asio::post(
                m_io, [this, running, result = std::move(result)] { step(running, ClaimAnswered { result }); });
        });
}

void RequestRunner::settleClaim(const RunningPtr& running, SettleClaim settle)
{
    Command command;
    command.m_body = std::move(settle);
    m_control.m_submit(std::move(command), m_settings.m_commandTimeout, [this, running](CommandResult result) {
        boost::asio::post(
            m_io, [this, running, result = std::move(result)] { step(running, RequestSettled { result }); });
    });
}

void RequestRunner::send(const RunningPtr& running, EndpointCall call)
{
    const AttemptNumber attempt = call.m_attempt;
    running->m_calls[attempt] = m_client.start(std::move(call), [this, running, attempt](EndpointReply reply) {
        running->m_calls.erase(attempt);
        step(running, RequestReplied { attempt, std::move(reply) });
    });
}

void RequestRunner::setTimer(const RunningPtr& running, MonotonicTime at)
{
    running->m_timer.expires_at(at);
    running->m_timer.async_wait([this, running](const boost::system::error_code& error) {
        if (!error)
            step(running, RequestTimer {});
    });
}

void RequestRunner::reportDeath(const RunningPtr& running, ReportDeath report)
{
    logEvent(LogLevel::Warning, "endpoint closed a connection that owed an answer",
        { { "endpoint", report.m_endpoint.value() }, { "service", report.m_service.value() },
            { "request_id", running->m_execution.m_request.m_id.value() } });
    const Fingerprint fingerprint = running->m_execution.m_fingerprint;
    Command command;
    command.m_body = std::move(report);
    m_control.m_submit(
        std::move(command), m_settings.m_commandTimeout, [this, fingerprint](const CommandResult& result) {
            if (result.m_code != ResultCode::Ok)
                return;
            boost::asio::post(m_io, [this, fingerprint] { noteReportApplied(m_loop.m_fingerprints, fingerprint); });
        });
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
    const MonotonicTime now = clockNow();
    const auto elapsed = std::chrono::duration_cast<Microseconds>(now - running->m_startedAt);
    const ServiceName service = running->m_execution.m_request.m_service;
    endExecution(serviceAdmission(m_loop, m_settings, service), running->m_countedIn, Microseconds(0), elapsed, now);
    m_metrics.recordRequest(service, running->m_countedIn, answer.m_code, elapsed);
    running->m_handler(std::move(answer));
}

} // namespace flamingo
