#include "forward/mergewire.h"

#include "control/cborwriter.h"
#include "forward/vmmessage.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <exception>
#include <limits>

namespace flamingo {

namespace {

using detail::parseMessage;
using detail::readInteger;
using detail::readStrings;
using detail::readTimeLeft;
using Json = nlohmann::json;

constexpr char mergePath[] = "/merge";
constexpr char resumePath[] = "/merge/rest";
constexpr std::size_t callFieldCount = 15;
constexpr std::size_t resumeFieldCount = 3;
constexpr std::size_t replyFieldCount = 3;

bool isValidCall(const EndpointCall& call)
{
    return call.m_path == mergePath || call.m_path == resumePath || call.m_path == detail::relayPath;
}

std::string writeCall(const EndpointCall& call, Milliseconds remaining)
{
    std::string header = "POST ";
    header.append(call.m_path).append(" HTTP/1.1\r\nHost: ").append(call.m_address).append("\r\n");
    header.append("Content-Length: ").append(std::to_string(call.m_body.size())).append("\r\n");
    header.append(detail::deadlineField).append(": ").append(std::to_string(remaining.count())).append("\r\n");
    for (const HttpField& field : call.m_fields)
        header.append(field.m_name).append(": ").append(field.m_value).append("\r\n");
    return header.append("\r\n");
}

void readField(EndpointReply& reply, std::string_view name, std::string_view value)
{
    if (name == detail::notRunField)
        reply.m_notRun = true;
    else if (name == detail::retryAfterField)
        reply.m_retryAfter = detail::readMilliseconds(value);
    else if (name == detail::usedAttemptsField)
        reply.m_usedAttempts = detail::readAttempts(value);
    else if (name == detail::leavingEndpointField) {
        if (auto endpoint = detail::readLeavingEndpoint(value))
            reply.m_leavingEndpoints.push_back(std::move(*endpoint));
    }
}

// Precondition: the JSON is an array of callFieldCount values. Throws an exception for a value of a wrong type.
void readCall(const Json& json, ForwardRequest& request, Route& route, Milliseconds& goalLeft)
{
    request.m_id = RequestId(json[0].get<std::string>());
    request.m_method = json[1].get<std::string>();
    request.m_host = json[2].get<std::string>();
    request.m_target = json[3].get<std::string>();
    const std::vector<std::string> fields = readStrings(json[4]);
    for (std::size_t index = 0; index + 1 < fields.size(); index += 2)
        request.m_fields.push_back({ fields[index], fields[index + 1] });
    request.m_body = json[5].get<std::string>();
    for (std::string& shard : readStrings(json[6]))
        route.m_shards.emplace_back(std::move(shard));
    route.m_topRecords = readInteger<std::uint32_t>(json[7]);
    route.m_maxAttempts = readInteger<std::uint32_t>(json[8]);
    route.m_goal = Milliseconds(readInteger<std::uint32_t>(json[9]));
    goalLeft = Milliseconds(readInteger<std::uint32_t>(json[10]));
    route.m_key.m_host = json[11].get<std::string>();
    route.m_key.m_pathPrefix = json[12].get<std::string>();
    route.m_name = json[13].get<std::string>();
    request.m_version = ConfigurationVersion(readInteger<std::uint64_t>(json[14]));
}

} // namespace

bool isMergeResumeCall(const HttpRequest& http) { return http.m_target == resumePath; }

void writeMergeResumeCall(const MergeResumeCall& resume, EndpointCall& call)
{
    CborWriter writer;
    writer.array(resumeFieldCount);
    writer.text(resume.m_request.value());
    writer.text(resume.m_firstShard.value());
    writer.unsignedInteger(static_cast<std::uint64_t>(std::max<Milliseconds::rep>(resume.m_goalLeft.count(), 0)));
    call.m_path = resumePath;
    call.m_body = writer.take();
}

std::optional<MergeResumeCall> decodeMergeResumeCall(const HttpRequest& http)
{
    const Json json = parseMessage(http.m_body);
    if (!json.is_array() || json.size() != resumeFieldCount || !json[0].is_string() || !json[1].is_string()
        || !json[2].is_number_unsigned() || json[2] > std::numeric_limits<std::uint32_t>::max())
        return std::nullopt;
    return MergeResumeCall { RequestId(json[0].get<std::string>()), ServiceName(json[1].get<std::string>()),
        Milliseconds(json[2].get<std::uint32_t>()) };
}

void writeMergeCall(const ForwardRequest& request, const std::vector<ServiceName>& shards, std::uint32_t attempts,
    Milliseconds goalLeft, EndpointCall& call)
{
    const Route& route = *request.m_route;
    CborWriter writer;
    writer.array(callFieldCount);
    writer.text(request.m_id.value());
    writer.text(request.m_method);
    writer.text(request.m_host);
    writer.text(request.m_target);
    writer.array(request.m_fields.size() * 2);
    for (const HttpField& field : request.m_fields) {
        writer.text(field.m_name);
        writer.text(field.m_value);
    }
    writer.text(request.m_body);
    writer.array(shards.size());
    for (const ServiceName& shard : shards)
        writer.text(shard.value());
    writer.unsignedInteger(route.m_topRecords);
    writer.unsignedInteger(attempts);
    writer.unsignedInteger(static_cast<std::uint64_t>(route.m_goal.count()));
    writer.unsignedInteger(static_cast<std::uint64_t>(std::max<Milliseconds::rep>(goalLeft.count(), 0)));
    writer.text(route.m_key.m_host);
    writer.text(route.m_key.m_pathPrefix);
    writer.text(route.m_name);
    writer.unsignedInteger(request.m_version.value());
    call.m_path = mergePath;
    call.m_body = writer.take();
}

bool decodeMergeCall(const HttpRequest& http, ForwardRequest& request, Reason& reason)
{
    reason = Reason { ResultCode::MalformedBody, "the body is not a valid call to a merging VM" };
    if (http.m_target != mergePath)
        return false;
    const Json json = parseMessage(http.m_body);
    if (!json.is_array() || json.size() != callFieldCount)
        return false;
    Route route;
    Milliseconds goalLeft { 0 };
    try {
        readCall(json, request, route, goalLeft);
    } catch (const std::exception& exception) {
        reason.m_text = exception.what();
        return false;
    }
    request.m_receivedAt = http.m_receivedAt;
    request.m_timeLeft = readTimeLeft(http);
    request.m_partialAnswerAfter = goalLeft;
    route.m_idempotence = Idempotence::Idempotent;
    route.m_timeout = request.m_timeLeft;
    request.m_route = std::make_shared<const Route>(std::move(route));
    return !request.m_route->m_shards.empty() && request.m_timeLeft.count() > 0;
}

HttpResponse encodeMergeAnswer(const ForwardAnswer& answer)
{
    HttpResponse response;
    detail::appendLeavingEndpoints(response, answer.m_leavingEndpoints);
    if (answer.m_kind != ForwardAnswer::Kind::Merged) {
        constexpr unsigned unavailable = 503;
        constexpr unsigned failed = 502;
        const bool notRun = resultClass(answer.m_code) == ResultClass::NotRun;
        response.m_status = notRun ? unavailable : failed;
        if (notRun)
            detail::appendRefusal(response, answer.m_retryAfter);
        return response;
    }
    CborWriter writer;
    writer.array(replyFieldCount);
    writer.array(answer.m_receipts.size());
    for (const std::string& receipt : answer.m_receipts)
        writer.text(receipt);
    writer.bytes(answer.m_body);
    writer.boolean(answer.m_moreFollows);
    response.m_body = writer.take();
    return response;
}

std::optional<MergeReply> decodeMergeReply(const std::string& body)
{
    const Json json = parseMessage(body);
    if (!json.is_array() || json.size() != replyFieldCount || !json[0].is_array() || !json[1].is_binary()
        || !json[2].is_boolean())
        return std::nullopt;
    MergeReply reply;
    for (const Json& receipt : json[0]) {
        if (!receipt.is_string())
            return std::nullopt;
        reply.m_receipts.push_back(receipt.get<std::string>());
    }
    const auto& records = json[1].get_binary();
    reply.m_records.assign(records.begin(), records.end());
    reply.m_moreFollows = json[2].get<bool>();
    return reply;
}

const EndpointProtocol& mergeProtocol()
{
    static constexpr EndpointProtocol protocol { isValidCall, writeCall, readField };
    return protocol;
}

} // namespace flamingo
