#include "control/apply.h"
#include "control/controlclient.h"
#include "control/requestid.h"

#include <algorithm>

namespace flamingo {

namespace {

// Returns the key of the claim, or nothing for a request id without a time, which the leader refuses.
template <typename Body> std::optional<ClaimKey> claimKey(const Body& body)
{
    Reason reason;
    const auto seconds = requestIdSeconds(body.m_request, reason);
    if (!seconds)
        return std::nullopt;
    return ClaimKey { *seconds, body.m_service, body.m_request };
}

CommandResult failure(ResultCode code, const char* text)
{
    CommandResult result;
    result.m_code = code;
    result.m_text = text;
    return result;
}

Reason tooManyPending() { return { ResultCode::Overloaded, "too many requests are waiting for the control leader" }; }

// A template because ControlClient::Pending is private.
template <typename Entry> Entry makePending(MonotonicTime deadline)
{
    Entry entry;
    entry.m_deadline = deadline;
    entry.m_retryUntil = deadline;
    return entry;
}

} // namespace

void ControlClient::prepareClaim(CommandBody& body)
{
    if (auto* open = std::get_if<OpenClaim>(&body)) {
        open->m_vm = m_settings.m_vm;
        open->m_vmIncarnation = m_settings.m_incarnation;
        if (open->m_run == 0)
            open->m_run = ++m_lastRun;
        m_lastRun = std::max(m_lastRun, open->m_run);
    } else if (auto* settle = std::get_if<SettleClaim>(&body)) {
        settle->m_vm = m_settings.m_vm;
        settle->m_vmIncarnation = m_settings.m_incarnation;
        const auto key = claimKey(*settle);
        const auto run = key ? m_openRuns.find(*key) : m_openRuns.end();
        if (settle->m_run == 0 && run != m_openRuns.end())
            settle->m_run = run->second;
        if (run != m_openRuns.end() && run->second == settle->m_run)
            m_openRuns.erase(run);
    }
}

void ControlClient::submit(Command command, Milliseconds timeout, CommandHandler handler, MonotonicTime now)
{
    if (m_pending.size() >= maxPending) {
        if (handler)
            handler(failure(ResultCode::Overloaded, "too many commands are waiting for the control leader"));
        return;
    }
    prepareClaim(command.m_body);
    auto pending = makePending<Pending>(now + timeout);
    if (std::holds_alternative<SettleClaim>(command.m_body))
        pending.m_retryUntil = std::max(pending.m_deadline, now + settleRetryPeriod);
    pending.m_request = CommandRequest { 0, std::move(command) };
    pending.m_commandHandler = std::move(handler);
    addPending(std::move(pending));
}

void ControlClient::queryStatus(Revision revision, Milliseconds timeout, StatusHandler handler, MonotonicTime now)
{
    if (m_pending.size() >= maxPending) {
        handler(std::nullopt, tooManyPending());
        return;
    }
    auto pending = makePending<Pending>(now + timeout);
    pending.m_request = StatusRequest { 0, revision };
    pending.m_statusHandler = std::move(handler);
    addPending(std::move(pending));
}

void ControlClient::administer(AdminRequest request, Milliseconds timeout, AdminHandler handler, MonotonicTime now)
{
    if (m_pending.size() >= maxPending) {
        handler(std::nullopt, tooManyPending());
        return;
    }
    auto pending = makePending<Pending>(now + timeout);
    pending.m_request = std::move(request);
    pending.m_adminHandler = std::move(handler);
    addPending(std::move(pending));
}

void ControlClient::addPending(Pending pending)
{
    const std::uint64_t sequence = ++m_sequence;
    std::visit([sequence](auto& request) { request.m_sequence = sequence; }, pending.m_request);
    const auto position = m_pending.emplace(sequence, std::move(pending)).first;
    if (m_phase == Phase::Open)
        sendPending(position->second);
}

void ControlClient::handle(const CommandReply& reply, MonotonicTime)
{
    const auto position = m_pending.find(reply.m_sequence);
    if (position == m_pending.end() || !std::holds_alternative<CommandRequest>(position->second.m_request))
        return;
    // The entry is removed first because the handler may submit further commands.
    const Pending pending = std::move(position->second);
    m_pending.erase(position);
    recordClaimResult(std::get<CommandRequest>(pending.m_request).m_command, reply.m_result);
    if (pending.m_commandHandler)
        pending.m_commandHandler(reply.m_result);
}

void ControlClient::recordClaimResult(const Command& command, const CommandResult& result)
{
    const auto* open = std::get_if<OpenClaim>(&command.m_body);
    if (open == nullptr || !result.m_claimOpened)
        return;
    if (const auto key = claimKey(*open))
        m_openRuns[*key] = open->m_run;
}

void ControlClient::handle(const StatusReply& reply, MonotonicTime)
{
    const auto position = m_pending.find(reply.m_sequence);
    if (position == m_pending.end() || !std::holds_alternative<StatusRequest>(position->second.m_request))
        return;
    const Pending pending = std::move(position->second);
    m_pending.erase(position);
    if (pending.m_statusHandler)
        pending.m_statusHandler(reply, Reason {});
}

void ControlClient::handle(const AdminReply& reply, MonotonicTime)
{
    const auto position = m_pending.find(reply.m_sequence);
    if (position == m_pending.end() || !std::holds_alternative<AdminRequest>(position->second.m_request))
        return;
    const Pending pending = std::move(position->second);
    m_pending.erase(position);
    if (pending.m_adminHandler)
        pending.m_adminHandler(reply, Reason {});
}

void ControlClient::expirePending(MonotonicTime now)
{
    std::vector<Pending> expired;
    for (auto position = m_pending.begin(); position != m_pending.end();) {
        Pending& pending = position->second;
        if (now >= pending.m_retryUntil) {
            expired.push_back(std::move(pending));
            position = m_pending.erase(position);
            continue;
        }
        if (now >= pending.m_deadline && pending.m_commandHandler) {
            Pending timedOut;
            timedOut.m_request = pending.m_request;
            timedOut.m_everSent = pending.m_everSent;
            timedOut.m_commandHandler = std::move(pending.m_commandHandler);
            pending.m_commandHandler = nullptr;
            expired.push_back(std::move(timedOut));
        }
        ++position;
    }
    for (Pending& pending : expired)
        timeOut(pending, now);
}

void ControlClient::timeOut(Pending& pending, MonotonicTime now)
{
    constexpr const char* notSentText = "no control leader answered in time; the command was not sent";
    if (pending.m_statusHandler) {
        pending.m_statusHandler(
            std::nullopt, Reason { ResultCode::ControlUnavailable, "no control leader answered in time" });
        return;
    }
    if (pending.m_adminHandler) {
        pending.m_adminHandler(
            std::nullopt, Reason { ResultCode::ControlUnavailable, "no control leader answered in time" });
        return;
    }
    const auto& command = std::get<CommandRequest>(pending.m_request).m_command;
    const auto* open = std::get_if<OpenClaim>(&command.m_body);
    if (open != nullptr && pending.m_everSent)
        abandonClaim(*open, now);
    if (!pending.m_commandHandler)
        return;
    if (open != nullptr)
        pending.m_commandHandler(
            failure(ResultCode::ControlUnavailable, "no control leader answered in time; the request was not sent"));
    else if (!pending.m_everSent)
        pending.m_commandHandler(failure(ResultCode::ControlUnavailable, notSentText));
    else
        pending.m_commandHandler(failure(ResultCode::CommandOutcomeUnknown,
            "no control leader answered in time; the command may still be applied; send it again with the same command "
            "id"));
}

void ControlClient::abandonClaim(const OpenClaim& open, MonotonicTime now)
{
    Command command;
    command.m_body = SettleClaim { open.m_service, open.m_request, open.m_vm, open.m_vmIncarnation,
        ClaimOutcome::NotRun, {}, open.m_run, open.m_bodyHash };
    submit(std::move(command), settleRetryPeriod, nullptr, now);
}

} // namespace flamingo
