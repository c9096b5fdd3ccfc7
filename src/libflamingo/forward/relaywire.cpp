#include "forward/relaywire.h"

#include "control/cborwriter.h"
#include "forward/vmmessage.h"

#include <algorithm>
#include <exception>
#include <utility>

namespace flamingo {

namespace {

using Json = nlohmann::json;

constexpr std::size_t callFieldCount = 21;
constexpr std::size_t answerFieldCount = 10;
// Statuses that an endpoint can give; others would make the caller's answer malformed.
constexpr unsigned minStatus = 200;
constexpr unsigned maxStatus = 599;

std::uint64_t toUnsigned(Milliseconds time)
{
    return static_cast<std::uint64_t>(std::max<Milliseconds::rep>(time.count(), 0));
}

void writeFields(CborWriter& writer, const HttpFields& fields)
{
    writer.array(fields.size() * 2);
    for (const HttpField& field : fields) {
        writer.text(field.m_name);
        writer.text(field.m_value);
    }
}

HttpFields readFields(const Json& json)
{
    HttpFields fields;
    const std::vector<std::string> texts = detail::readStrings(json);
    for (std::size_t index = 0; index + 1 < texts.size(); index += 2)
        fields.push_back({ texts[index], texts[index + 1] });
    return fields;
}

Milliseconds readDuration(const Json& json) { return Milliseconds(detail::readInteger<std::uint32_t>(json)); }

std::string readBytes(const Json& json)
{
    const auto& bytes = json.get_ref<const Json::binary_t&>();
    return { bytes.begin(), bytes.end() };
}

void writeRoute(CborWriter& writer, const Route& route)
{
    writer.text(route.m_key.m_host);
    writer.text(route.m_key.m_pathPrefix);
    writer.text(route.m_name);
    writer.boolean(route.m_idempotence == Idempotence::Idempotent);
    writer.unsignedInteger(toUnsigned(route.m_timeout));
    writer.unsignedInteger(toUnsigned(route.m_goal));
    writer.unsignedInteger(route.m_priority);
    writer.unsignedInteger(route.m_maxAttempts);
    writer.array(route.m_targets.size());
    for (const RouteTarget& target : route.m_targets)
        writer.text(target.m_service.value());
    writer.array(route.m_targets.size());
    for (const RouteTarget& target : route.m_targets)
        writer.real(target.m_weight);
    writer.array(route.m_shards.size());
    for (const ServiceName& shard : route.m_shards)
        writer.text(shard.value());
    writer.unsignedInteger(route.m_topRecords);
    writer.real(route.m_minAnsweredShare);
}

// Precondition: the JSON is an array of callFieldCount values. Throws an exception for a value of a wrong type.
Route readRoute(const Json& json)
{
    Route route;
    route.m_key.m_host = json[6].get<std::string>();
    route.m_key.m_pathPrefix = json[7].get<std::string>();
    route.m_name = json[8].get<std::string>();
    route.m_idempotence = json[9].get<bool>() ? Idempotence::Idempotent : Idempotence::NonIdempotent;
    route.m_timeout = readDuration(json[10]);
    route.m_goal = readDuration(json[11]);
    route.m_priority = detail::readInteger<std::uint32_t>(json[12]);
    route.m_maxAttempts = detail::readInteger<std::uint32_t>(json[13]);
    const std::vector<std::string> targets = detail::readStrings(json[14]);
    const auto weights = json[15].get<std::vector<double>>();
    for (std::size_t index = 0; index < std::min(targets.size(), weights.size()); ++index)
        route.m_targets.push_back({ ServiceName(targets[index]), weights[index] });
    for (std::string& shard : detail::readStrings(json[16]))
        route.m_shards.emplace_back(std::move(shard));
    route.m_topRecords = detail::readInteger<std::uint32_t>(json[17]);
    route.m_minAnsweredShare = json[18].get<double>();
    return route;
}

std::optional<ForwardAnswer::Kind> readKind(const Json& json)
{
    const auto number = detail::readInteger<std::uint32_t>(json);
    for (const auto kind : { ForwardAnswer::Kind::Passed, ForwardAnswer::Kind::Merged, ForwardAnswer::Kind::Error }) {
        if (number == static_cast<std::uint32_t>(kind))
            return kind;
    }
    return std::nullopt;
}

} // namespace

bool isRelayCall(const HttpRequest& http) { return http.m_target == detail::relayPath; }

void writeRelayCall(const ForwardRequest& request, const Route& route, Milliseconds goalLeft, EndpointCall& call)
{
    CborWriter writer;
    writer.array(callFieldCount);
    writer.text(request.m_id.value());
    writer.text(request.m_method);
    writer.text(request.m_host);
    writer.text(request.m_target);
    writeFields(writer, request.m_fields);
    writer.bytes(request.m_body);
    writeRoute(writer, route);
    writer.unsignedInteger(request.m_version.value());
    writer.unsignedInteger(toUnsigned(goalLeft));
    call.m_path = detail::relayPath;
    call.m_fields.push_back({ detail::grantedAttemptsField, std::to_string(route.m_maxAttempts) });
    call.m_body = writer.take();
}

bool decodeRelayCall(const HttpRequest& http, ForwardRequest& request, Reason& reason)
{
    reason = Reason { ResultCode::MalformedBody, "the body is not a valid call to serve a request of another VM" };
    const Json json = detail::parseMessage(http.m_body);
    if (!json.is_array() || json.size() != callFieldCount)
        return false;
    try {
        request.m_id = RequestId(json[0].get<std::string>());
        request.m_method = json[1].get<std::string>();
        request.m_host = json[2].get<std::string>();
        request.m_target = json[3].get<std::string>();
        request.m_fields = readFields(json[4]);
        request.m_body = readBytes(json[5]);
        Route route = readRoute(json);
        const auto granted = detail::readAttempts(findField(http.m_fields, detail::grantedAttemptsField));
        request.m_attemptsGranted = granted.has_value();
        route.m_maxAttempts = std::min(std::max(1U, route.m_maxAttempts), granted.value_or(1U));
        request.m_route = std::make_shared<const Route>(std::move(route));
        request.m_version = ConfigurationVersion(detail::readInteger<std::uint64_t>(json[19]));
        request.m_goalLeft = readDuration(json[20]);
    } catch (const std::exception& exception) {
        reason.m_text = exception.what();
        return false;
    }
    request.m_receivedAt = http.m_receivedAt;
    request.m_timeLeft = detail::readTimeLeft(http);
    request.m_relayed = true;
    const Route& route = *request.m_route;
    if (request.m_timeLeft.count() <= 0) {
        reason = Reason { ResultCode::DeadlineTooShort, "no time is left to serve the request" };
        return false;
    }
    if (route.m_maxAttempts == 0) {
        reason = Reason { ResultCode::InvalidField, "no attempt is granted" };
        return false;
    }
    return route.m_targets.empty() != route.m_shards.empty();
}

void writeCallerPriority(const ForwardRequest& request, EndpointCall& call)
{
    if (!request.m_customer.value().empty())
        call.m_fields.push_back({ detail::customerField, request.m_customer.value() });
    call.m_fields.push_back({ detail::priorityField, std::to_string(request.m_priority) });
}

void readCallerPriority(const HttpRequest& http, ForwardRequest& request)
{
    request.m_customer = CustomerName(std::string(findField(http.m_fields, detail::customerField)));
    // Without a priority, that of the route counts, as far as the call carries it.
    request.m_priority
        = detail::readAttempts(findField(http.m_fields, detail::priorityField)).value_or(request.m_route->m_priority);
}

HttpResponse encodeRelayAnswer(const ForwardAnswer& answer)
{
    HttpResponse response;
    detail::appendLeavingEndpoints(response, answer.m_leavingEndpoints);
    if (answer.m_kind == ForwardAnswer::Kind::Error && resultClass(answer.m_code) == ResultClass::NotRun) {
        constexpr unsigned unavailable = 503;
        response.m_status = unavailable;
        detail::appendRefusal(response, answer.m_retryAfter);
        return response;
    }
    if (answer.m_cutOff) {
        // Without a body this is no answer for the caller, only a failed call.
        constexpr unsigned failed = 502;
        response.m_status = failed;
        response.m_fields.push_back({ detail::usedAttemptsField, std::to_string(answer.m_usedAttempts) });
        return response;
    }
    CborWriter writer;
    writer.array(answerFieldCount);
    writer.unsignedInteger(static_cast<std::uint64_t>(answer.m_kind));
    writer.unsignedInteger(static_cast<std::uint64_t>(answer.m_code));
    writer.text(answer.m_text);
    writer.unsignedInteger(answer.m_status);
    writeFields(writer, answer.m_fields);
    writer.bytes(answer.m_body);
    writer.array(answer.m_receipts.size());
    for (const std::string& receipt : answer.m_receipts)
        writer.text(receipt);
    writer.unsignedInteger(answer.m_shardCount);
    writer.unsignedInteger(answer.m_missingShards);
    writer.unsignedInteger(toUnsigned(answer.m_retryAfter));
    response.m_body = writer.take();
    return response;
}

std::optional<ForwardAnswer> decodeRelayAnswer(const std::string& body)
{
    const Json json = detail::parseMessage(body);
    if (!json.is_array() || json.size() != answerFieldCount)
        return std::nullopt;
    ForwardAnswer answer;
    try {
        const auto kind = readKind(json[0]);
        if (!kind)
            return std::nullopt;
        answer.m_kind = *kind;
        answer.m_code = static_cast<ResultCode>(detail::readInteger<std::uint16_t>(json[1]));
        answer.m_text = json[2].get<std::string>();
        answer.m_status = detail::readInteger<std::uint32_t>(json[3]);
        answer.m_fields = readFields(json[4]);
        answer.m_body = readBytes(json[5]);
        answer.m_receipts = detail::readStrings(json[6]);
        answer.m_shardCount = detail::readInteger<std::uint32_t>(json[7]);
        answer.m_missingShards = detail::readInteger<std::uint32_t>(json[8]);
        answer.m_retryAfter = readDuration(json[9]);
    } catch (const std::exception&) {
        return std::nullopt;
    }
    const bool validStatus = answer.m_status >= minStatus && answer.m_status <= maxStatus;
    if (answer.m_kind == ForwardAnswer::Kind::Passed && !validStatus)
        return std::nullopt;
    return answer;
}

} // namespace flamingo
