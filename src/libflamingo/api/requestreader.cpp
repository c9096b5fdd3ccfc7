#include "api/requestreader.h"

#include "api/jsonfields.h"

#include <nlohmann/json.hpp>

#include <arpa/inet.h>

#include <charconv>
#include <cstdio>
#include <limits>
#include <map>
#include <random>
#include <system_error>

namespace flamingo {

namespace {
using detail::JsonFields;
using nlohmann::json;

constexpr auto maxUint32 = std::numeric_limits<std::uint32_t>::max();
constexpr auto maxUint64 = std::numeric_limits<std::uint64_t>::max();
constexpr std::uint64_t maxHits = 100000;
constexpr std::size_t maxHoldings = 10000;
constexpr std::size_t maxLayouts = 100;
constexpr std::size_t maxShards = 100000;
constexpr std::uint64_t maxSlots = 100000;
constexpr std::uint64_t maxEndpointConnections = 1000000;

std::uint64_t millisecondCount(Milliseconds time) { return static_cast<std::uint64_t>(time.count()); }

std::optional<Milliseconds> readDeadline(JsonFields& fields, const ApiSettings& settings)
{
    const auto deadline
        = fields.integer("deadline_ms", JsonFields::Optional, 1, millisecondCount(settings.m_maxDeadline));
    return deadline ? std::optional(Milliseconds(*deadline)) : std::nullopt;
}

bool isIpAddress(const std::string& text)
{
    in6_addr buffer;
    return inet_pton(AF_INET, text.c_str(), &buffer) == 1 || inet_pton(AF_INET6, text.c_str(), &buffer) == 1;
}

SnapshotLayout readLayout(
    const json& value, const std::string& path, const ServiceName& service, Reason& reason, bool& valid)
{
    SnapshotLayout layout;
    JsonFields fields(value, path + ".", reason);
    layout.m_key.m_service = service;
    layout.m_key.m_version
        = SnapshotVersion(fields.integer("snapshot", JsonFields::Required, 0, maxUint64).value_or(0));
    layout.m_key.m_layout = LayoutId(fields.integer("layout", JsonFields::Required, 0, maxUint64).value_or(0));
    if (const json* weights = fields.array("weights", JsonFields::Required, maxShards)) {
        if (weights->empty())
            fields.fail("weights", "must not be empty");
        for (const json& weight : *weights) {
            const auto number = weight.is_number_unsigned() ? weight.get<std::uint64_t>() : 0;
            if (number < 1 || number > maxUint32) {
                fields.fail("weights", "must hold integers from 1 to " + std::to_string(maxUint32));
                break;
            }
            layout.m_shardWeights.push_back(static_cast<std::uint32_t>(number));
        }
    }
    valid = fields.finish();
    return layout;
}

ShardHolding readHolding(const json& value, const std::string& path,
    const std::map<LayoutKey, std::size_t>& shardCounts, const ServiceName& service, Reason& reason, bool& valid)
{
    ShardHolding holding;
    JsonFields fields(value, path + ".", reason);
    holding.m_version = SnapshotVersion(fields.integer("snapshot", JsonFields::Required, 0, maxUint64).value_or(0));
    holding.m_layout = LayoutId(fields.integer("layout", JsonFields::Required, 0, maxUint64).value_or(0));
    const auto shard = fields.integer("shard", JsonFields::Required, 0, maxUint32);
    holding.m_shard = ShardIndex(static_cast<std::uint32_t>(shard.value_or(0)));
    if (shard) {
        const auto found = shardCounts.find({ service, holding.m_version, holding.m_layout });
        if (found == shardCounts.end())
            fields.fail("layout", "names a layout that is not in \"layouts\"");
        else if (*shard >= found->second)
            fields.fail("shard", "must be less than the number of weights of the layout");
    }
    valid = fields.finish();
    return holding;
}

// Reads the layouts and holdings into the announcement. Returns false after an error.
bool readShards(JsonFields& fields, Announcement& announcement, Reason& reason)
{
    const json* layouts = fields.array("layouts", JsonFields::Required, maxLayouts);
    const json* holdings = fields.array("holdings", JsonFields::Required, maxHoldings);
    if (!layouts || !holdings)
        return false;
    const ServiceName& service = announcement.m_endpoint.m_service;
    std::map<LayoutKey, std::size_t> shardCounts;
    bool valid = true;
    for (std::size_t index = 0; index < layouts->size(); ++index) {
        const std::string path = "layouts[" + std::to_string(index) + "]";
        announcement.m_layouts.push_back(readLayout((*layouts)[index], path, service, reason, valid));
        if (!valid)
            return false;
        const SnapshotLayout& layout = announcement.m_layouts.back();
        if (!shardCounts.emplace(layout.m_key, layout.m_shardWeights.size()).second) {
            fields.fail(path, "has the same snapshot and layout as an earlier element");
            return false;
        }
    }
    for (std::size_t index = 0; index < holdings->size(); ++index) {
        const std::string path = "holdings[" + std::to_string(index) + "]";
        announcement.m_endpoint.m_holdings.push_back(
            readHolding((*holdings)[index], path, shardCounts, service, reason, valid));
        if (!valid)
            return false;
    }
    return true;
}

std::optional<AnnouncementAction> readAction(JsonFields& fields)
{
    const std::string action = fields.text("action", JsonFields::Required);
    if (action == "register")
        return AnnouncementAction::Register;
    if (action == "renew")
        return AnnouncementAction::Renew;
    if (action == "drain")
        return AnnouncementAction::Drain;
    if (action == "leave")
        return AnnouncementAction::Leave;
    fields.fail("action", "must be register, renew, drain or leave");
    return std::nullopt;
}

void readRegistration(JsonFields& fields, EndpointRecord& endpoint)
{
    endpoint.m_service = ServiceName(fields.name("service", JsonFields::Required));
    endpoint.m_address = fields.text("address", JsonFields::Required);
    if (!isIpAddress(endpoint.m_address))
        fields.fail("address", "must be an IP address");
    endpoint.m_port = static_cast<std::uint16_t>(fields.integer("port", JsonFields::Required, 1, 65535).value_or(0));
    endpoint.m_dataCentre = DataCentreName(fields.name("data_centre", JsonFields::Required));
    endpoint.m_slots
        = static_cast<std::uint32_t>(fields.integer("slots", JsonFields::Required, 1, maxSlots).value_or(1));
    endpoint.m_connections = static_cast<std::uint32_t>(
        fields.integer("connections", JsonFields::Required, 1, maxEndpointConnections).value_or(1));
}

std::optional<std::uint64_t> parseNumber(const std::string& text)
{
    std::uint64_t number = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return number;
}
} // namespace

std::optional<QueryRequest> readQuery(std::string_view body, const ApiSettings& settings, Reason& reason)
{
    const auto object = detail::parseJsonObject(body, reason);
    if (!object)
        return std::nullopt;
    QueryRequest query;
    JsonFields fields(*object, "", reason);
    query.m_id = RequestId(fields.name("request_id", JsonFields::Optional));
    query.m_service = ServiceName(fields.name("service", JsonFields::Required));
    if (object->contains("caller_class"))
        query.m_callerClass = CallerClass(fields.name("caller_class", JsonFields::Optional));
    query.m_body = fields.payload("body", JsonFields::Required);
    query.m_deadline = readDeadline(fields, settings);
    query.m_coverageFloor = fields.fraction("coverage_floor", JsonFields::Optional);
    query.m_limit
        = static_cast<std::uint32_t>(fields.integer("limit", JsonFields::Optional, 1, maxHits).value_or(query.m_limit));
    if (!fields.finish())
        return std::nullopt;
    if (query.m_id.value().empty())
        query.m_id = generateRequestId();
    return query;
}

std::optional<CallerRequest> readRequest(std::string_view body, const ApiSettings& settings, Reason& reason)
{
    const auto object = detail::parseJsonObject(body, reason);
    if (!object)
        return std::nullopt;
    CallerRequest request;
    JsonFields fields(*object, "", reason);
    request.m_id = RequestId(fields.name("request_id", JsonFields::Optional));
    request.m_service = ServiceName(fields.name("service", JsonFields::Required));
    request.m_kind = fields.name("kind", JsonFields::Required);
    if (object->contains("caller_class"))
        request.m_callerClass = CallerClass(fields.name("caller_class", JsonFields::Optional));
    request.m_body = fields.payload("body", JsonFields::Required);
    request.m_deadline = readDeadline(fields, settings);
    if (!fields.finish())
        return std::nullopt;
    return request;
}

std::optional<Announcement> readAnnouncement(std::string_view body, Reason& reason)
{
    const auto object = detail::parseJsonObject(body, reason);
    if (!object)
        return std::nullopt;
    Announcement announcement;
    JsonFields fields(*object, "", reason);
    const auto action = readAction(fields);
    if (!action)
        return std::nullopt;
    announcement.m_action = *action;
    EndpointRecord& endpoint = announcement.m_endpoint;
    endpoint.m_id = EndpointId(fields.name("id", JsonFields::Required));
    endpoint.m_incarnation = Incarnation(fields.integer("incarnation", JsonFields::Required, 0, maxUint64).value_or(0));
    if (*action == AnnouncementAction::Register) {
        readRegistration(fields, endpoint);
        if (!readShards(fields, announcement, reason))
            return std::nullopt;
    }
    if (!fields.finish())
        return std::nullopt;
    return announcement;
}

std::optional<StatementRequest> readStatement(std::string_view body, const ApiSettings& settings, Reason& reason)
{
    const auto object = detail::parseJsonObject(body, reason);
    if (!object)
        return std::nullopt;
    StatementRequest statement;
    JsonFields fields(*object, "", reason);
    statement.m_text = fields.text("text", JsonFields::Required);
    statement.m_commandId = CommandId(fields.name("command_id", JsonFields::Optional));
    if (const auto version = fields.integer("expected_version", JsonFields::Optional, 0, maxUint64))
        statement.m_expectedVersion = ConfigurationVersion(*version);
    statement.m_wait = Milliseconds(
        fields.integer("wait_ms", JsonFields::Optional, 0, millisecondCount(settings.m_maxDeadline)).value_or(0));
    if (!fields.finish())
        return std::nullopt;
    return statement;
}

std::optional<CommandStatusRequest> readCommandStatus(
    const std::string& revision, const std::string& wait, const ApiSettings& settings, Reason& reason)
{
    const auto number = parseNumber(revision);
    if (!number) {
        reason = Reason { ResultCode::InvalidField, "the revision in the path must be an unsigned integer" };
        return std::nullopt;
    }
    const auto waitMilliseconds = wait.empty() ? std::optional<std::uint64_t>(0) : parseNumber(wait);
    if (!waitMilliseconds || *waitMilliseconds > millisecondCount(settings.m_maxDeadline)) {
        reason = Reason { ResultCode::InvalidField,
            "parameter \"wait_ms\" must be an integer from 0 to " + std::to_string(settings.m_maxDeadline.count()) };
        return std::nullopt;
    }
    return CommandStatusRequest { Revision(*number), Milliseconds(*waitMilliseconds) };
}

RequestId generateRequestId()
{
    thread_local std::mt19937_64 random { [] {
        std::random_device device;
        std::seed_seq seed { device(), device(), device(), device() };
        return std::mt19937_64(seed);
    }() };
    char token[24];
    std::snprintf(token, sizeof(token), "%016llx", static_cast<unsigned long long>(random()));
    return RequestId(std::to_string(wallClock().value() / 1000) + "-" + token);
}

} // namespace flamingo
