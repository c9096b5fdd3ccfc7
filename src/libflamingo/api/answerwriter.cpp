#include "api/answerwriter.h"

#include <nlohmann/json.hpp>

namespace flamingo {

namespace {
using nlohmann::ordered_json;

ordered_json resultFields(ResultCode code, const std::string& text)
{
    return { { "code", static_cast<int>(code) }, { "name", std::string(resultCodeName(code)) }, { "text", text } };
}

// Replaces invalid UTF-8, since error texts may quote bytes from endpoints.
std::string dump(const ordered_json& value)
{
    return value.dump(-1, ' ', false, ordered_json::error_handler_t::replace);
}

// Returns the object as JSON text, with one more field whose value is already JSON text.
std::string withRawField(const ordered_json& object, const char* field, const std::string& raw)
{
    std::string out = dump(object);
    out.reserve(out.size() + raw.size() + 32);
    out.pop_back();
    out.append(",\"").append(field).append("\":").append(raw).append("}");
    return out;
}

ordered_json holderCounts(std::uint32_t confirmed, std::uint32_t total)
{
    return { { "confirmed", confirmed }, { "total", total } };
}
} // namespace

std::string writeAnswer(const QueryAnswer& answer)
{
    ordered_json object = resultFields(answer.m_code, answer.m_text);
    object["request_id"] = answer.m_id.value();
    object["snapshot"] = answer.m_snapshot.value();
    object["layout"] = answer.m_layout.value();
    object["coverage"] = { { "fraction", answer.m_coverage }, { "shards_answered", answer.m_shardsAnswered },
        { "shards_total", answer.m_shardsTotal } };
    object["configuration_version"] = answer.m_configurationVersion.value();
    object["endpoint_requests"] = answer.m_endpointRequests;
    object["retry_after_ms"] = answer.m_retryAfter.count();
    return withRawField(object, "hits", answer.m_hits.empty() ? "[]" : answer.m_hits);
}

std::string writeAnswer(const CallerAnswer& answer)
{
    ordered_json object = resultFields(answer.m_code, answer.m_text);
    object["request_id"] = answer.m_id.value();
    object["configuration_version"] = answer.m_configurationVersion.value();
    object["recorded"] = answer.m_recorded;
    object["retry_after_ms"] = answer.m_retryAfter.count();
    if (answer.m_answer.empty())
        return withRawField(object, "answer", "null");
    if (ordered_json::accept(answer.m_answer))
        return withRawField(object, "answer", answer.m_answer);
    object["answer"] = answer.m_answer;
    return dump(object);
}

std::string writeAnswer(const AnnouncementAnswer& answer)
{
    ordered_json object = resultFields(answer.m_code, answer.m_text);
    object["revision"] = answer.m_revision.value();
    object["renew_every_ms"] = answer.m_renewEvery.count();
    object["retry_after_ms"] = answer.m_retryAfter.count();
    return dump(object);
}

std::string writeAnswer(const StatementAnswer& answer)
{
    ordered_json object = resultFields(answer.m_code, answer.m_text);
    object["command_id"] = answer.m_commandId.value();
    object["revision"] = answer.m_revision.value();
    object["configuration_version"] = answer.m_version.value();
    object["in_force"] = answer.m_inForce;
    object["holders"] = holderCounts(answer.m_holdersConfirmed, answer.m_holdersTotal);
    object["retry_after_ms"] = answer.m_retryAfter.count();
    return withRawField(object, "rows", answer.m_rows.empty() ? "[]" : answer.m_rows);
}

std::string writeAnswer(const CommandStatusAnswer& answer)
{
    ordered_json object = resultFields(answer.m_code, answer.m_text);
    object["revision"] = answer.m_revision.value();
    object["in_force"] = answer.m_inForce;
    object["holders"] = holderCounts(answer.m_holdersConfirmed, answer.m_holdersTotal);
    object["retry_after_ms"] = answer.m_retryAfter.count();
    return dump(object);
}

std::string writeAnswer(const Reason& reason) { return dump(resultFields(reason.m_code, reason.m_text)); }

} // namespace flamingo
