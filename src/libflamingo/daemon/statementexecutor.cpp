#include "daemon/statementexecutor.h"

#include "base/nearestname.h"
#include "daemon/entryloop.h"
#include "daemon/staterows.h"
#include "language/parser.h"

#include <future>
#include <random>
#include <thread>

namespace flamingo {

namespace {

// Longest wait for the control leader; an election takes about a second.
constexpr Milliseconds controlTimeout { 5000 };
constexpr Milliseconds statusInterval { 50 };

std::string randomHex()
{
    std::random_device device;
    char text[17];
    std::snprintf(text, sizeof(text), "%08x%08x", device(), device());
    return text;
}

template <typename T> struct ValueOrReason {
    std::optional<T> m_value;
    Reason m_reason;
};

CommandResult submitAndWait(const ControlLoopProxy& control, Command command)
{
    const auto promise = std::make_shared<std::promise<CommandResult>>();
    control.m_submit(
        std::move(command), controlTimeout, [promise](CommandResult result) { promise->set_value(std::move(result)); });
    return promise->get_future().get();
}

ValueOrReason<StatusReply> statusAndWait(const ControlLoopProxy& control, Revision revision)
{
    const auto promise = std::make_shared<std::promise<ValueOrReason<StatusReply>>>();
    control.m_queryStatus(revision, controlTimeout, [promise](std::optional<StatusReply> reply, Reason reason) {
        promise->set_value({ reply, std::move(reason) });
    });
    return promise->get_future().get();
}

std::string coverageText(const QueryAnswer& answer)
{
    char coverage[32];
    std::snprintf(coverage, sizeof(coverage), "%.4f", answer.m_coverage);
    return "snapshot " + std::to_string(answer.m_snapshot.value()) + ", coverage "
        + std::to_string(answer.m_shardsAnswered) + "/" + std::to_string(answer.m_shardsTotal) + " shards (" + coverage
        + "), configuration version " + std::to_string(answer.m_configurationVersion.value()) + ", request "
        + answer.m_id.value();
}

template <typename Records> std::vector<std::string> namesOf(const Records& records)
{
    std::vector<std::string> names;
    names.reserve(records.size());
    for (const auto& [name, record] : records)
        names.push_back(name.value());
    return names;
}

} // namespace

StatementExecutor::StatementExecutor(EntryLoop& entry, const ControlLoopProxy& control)
    : m_entry(entry)
    , m_control(control)
{
}

StatementAnswer StatementExecutor::execute(const StatementRequest& request)
{
    Reason reason;
    const auto statement = parseStatement(request.m_text, reason);
    if (!statement) {
        StatementAnswer answer;
        answer.m_code = reason.m_code;
        answer.m_text = reason.m_text;
        return answer;
    }
    if (const auto* shown = std::get_if<ShowStatement>(&*statement))
        return show(*shown);
    if (const auto* asked = std::get_if<QueryStatement>(&*statement))
        return query(*asked);
    if (const auto* sent = std::get_if<SendStatement>(&*statement))
        return send(*sent);
    if (const auto* added = std::get_if<AddMember>(&*statement))
        return administer(AdminRequest { 0, AdminAction::AddMember, added->m_vm.value(), added->m_address });
    if (const auto* removed = std::get_if<RemoveMember>(&*statement))
        return administer(AdminRequest { 0, AdminAction::RemoveMember, removed->m_member, {} });

    Command command;
    command.m_id = request.m_commandId.value().empty() ? CommandId(randomHex()) : request.m_commandId;
    command.m_expectedVersion = request.m_expectedVersion;
    std::visit(
        [&command](const auto& body) {
            if constexpr (std::is_constructible_v<CommandBody, decltype(body)>)
                command.m_body = body;
        },
        *statement);
    return submitCommand(std::move(command), request.m_wait);
}

StatementAnswer StatementExecutor::submitCommand(Command command, Milliseconds wait)
{
    const CommandBody body = command.m_body;
    StatementAnswer answer;
    answer.m_commandId = command.m_id;
    const CommandResult result = submitAndWait(m_control, std::move(command));
    answer.m_code = result.m_code;
    answer.m_text = result.m_text;
    answer.m_revision = result.m_revision;
    answer.m_version = result.m_version;
    if (result.m_code != ResultCode::Ok) {
        suggestName(body, answer);
        return answer;
    }
    const CommandStatusAnswer progress = status(CommandStatusRequest { result.m_revision, wait });
    answer.m_inForce = progress.m_inForce;
    answer.m_holdersConfirmed = progress.m_holdersConfirmed;
    answer.m_holdersTotal = progress.m_holdersTotal;
    return answer;
}

void StatementExecutor::suggestName(const CommandBody& body, StatementAnswer& answer) const
{
    const auto state = m_entry.state();
    if (!state || (answer.m_code != ResultCode::UnknownService && answer.m_code != ResultCode::UnknownName))
        return;
    const std::vector<std::string> services = namesOf(state->m_services);
    const std::vector<std::string> endpoints = namesOf(state->m_endpoints);
    if (const auto* drain = std::get_if<DrainEndpoint>(&body))
        answer.m_text += suggestion(drain->m_endpoint.value(), endpoints);
    else if (const auto* restore = std::get_if<RestoreEndpoint>(&body))
        answer.m_text += suggestion(restore->m_endpoint.value(), endpoints);
    else if (const auto* alter = std::get_if<AlterService>(&body))
        answer.m_text += suggestion(alter->m_service.value(), services);
    else if (const auto* drop = std::get_if<DropService>(&body))
        answer.m_text += suggestion(drop->m_service.value(), services);
}

CommandStatusAnswer StatementExecutor::status(const CommandStatusRequest& request)
{
    CommandStatusAnswer answer;
    answer.m_revision = request.m_revision;
    const MonotonicTime until = monotonicNow() + request.m_wait;
    while (true) {
        const ValueOrReason<StatusReply> reply = statusAndWait(m_control, request.m_revision);
        if (!reply.m_value) {
            answer.m_code = reply.m_reason.m_code;
            answer.m_text = reply.m_reason.m_text;
            return answer;
        }
        answer.m_inForce = reply.m_value->m_inForce;
        answer.m_holdersConfirmed = reply.m_value->m_holdersConfirmed;
        answer.m_holdersTotal = reply.m_value->m_holdersTotal;
        if (answer.m_inForce || monotonicNow() >= until)
            return answer;
        std::this_thread::sleep_for(statusInterval);
    }
}

StatementAnswer StatementExecutor::administer(AdminRequest request)
{
    const auto promise = std::make_shared<std::promise<ValueOrReason<AdminReply>>>();
    m_control.m_administer(
        std::move(request), controlTimeout, [promise](std::optional<AdminReply> reply, Reason reason) {
            promise->set_value({ std::move(reply), std::move(reason) });
        });
    const ValueOrReason<AdminReply> reply = promise->get_future().get();
    StatementAnswer answer;
    answer.m_code = reply.m_value ? reply.m_value->m_code : reply.m_reason.m_code;
    answer.m_text = reply.m_value ? reply.m_value->m_text : reply.m_reason.m_text;
    if (reply.m_value)
        answer.m_rows = reply.m_value->m_rows;
    return answer;
}

StatementAnswer StatementExecutor::show(const ShowStatement& statement)
{
    switch (statement.m_subject) {
    case ShowSubject::Leases:
        return administer(AdminRequest { 0, AdminAction::ListLeases, {}, {} });
    case ShowSubject::Members:
        return administer(AdminRequest { 0, AdminAction::ListMembers, {}, {} });
    case ShowSubject::Claims:
        return administer(AdminRequest {
            0, AdminAction::ListClaims, statement.m_service ? statement.m_service->value() : std::string(), {} });
    default:
        break;
    }
    StatementAnswer answer;
    const auto state = m_entry.state();
    if (!state) {
        answer.m_code = ResultCode::NotReady;
        answer.m_text = "this VM has not received the configuration yet";
        return answer;
    }
    // A VM that was suspended may handle statements that arrived meanwhile, while its state is older than the one in
    // force.
    if (!m_control.m_lease->valid(monotonicNow())) {
        answer.m_code = ResultCode::NoLease;
        answer.m_text = "this VM holds no valid lease, so its configuration may be out of date";
        return answer;
    }
    answer.m_revision = state->m_revision;
    answer.m_version = state->m_configurationVersion;
    answer.m_rows = stateRows(*state, statement);
    return answer;
}

StatementAnswer StatementExecutor::query(const QueryStatement& statement)
{
    QueryRequest request;
    request.m_id = RequestId("ctl-" + randomHex());
    request.m_service = statement.m_service;
    request.m_body = statement.m_body;
    request.m_deadline = statement.m_deadline;
    request.m_coverageFloor = statement.m_floor;
    if (statement.m_limit)
        request.m_limit = *statement.m_limit;
    if (statement.m_callerClass)
        request.m_callerClass = *statement.m_callerClass;
    const QueryAnswer result = m_entry.query(std::move(request));
    StatementAnswer answer;
    answer.m_code = result.m_code;
    answer.m_version = result.m_configurationVersion;
    answer.m_rows = result.m_hits;
    answer.m_retryAfter = result.m_retryAfter;
    answer.m_text = result.m_shardsTotal > 0 ? coverageText(result) : std::string();
    if (!result.m_text.empty())
        answer.m_text += (answer.m_text.empty() ? "" : ": ") + result.m_text;
    return answer;
}

StatementAnswer StatementExecutor::send(const SendStatement& statement)
{
    CallerRequest request;
    request.m_id = statement.m_request;
    request.m_service = statement.m_service;
    request.m_kind = statement.m_kind;
    request.m_body = statement.m_body;
    request.m_deadline = statement.m_deadline;
    if (statement.m_callerClass)
        request.m_callerClass = *statement.m_callerClass;
    const CallerAnswer result = m_entry.request(std::move(request));
    StatementAnswer answer;
    answer.m_code = result.m_code;
    answer.m_version = result.m_configurationVersion;
    answer.m_retryAfter = result.m_retryAfter;
    answer.m_text = "request " + result.m_id.value() + (result.m_recorded ? ", recorded answer" : "");
    if (!result.m_text.empty())
        answer.m_text += ": " + result.m_text;
    if (result.m_code == ResultCode::Ok)
        answer.m_rows = "[{\"answer\":" + (result.m_answer.empty() ? std::string("null") : result.m_answer) + "}]";
    return answer;
}

} // namespace flamingo
