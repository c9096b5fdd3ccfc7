#include "forward/vmmessage.h"

#include "base/cborcheck.h"

#include <algorithm>
#include <charconv>

namespace flamingo::detail {

namespace {

// A message is an array whose values are at most lists of texts.
constexpr std::size_t maxDepth = 3;
// Holds the shards of a group and the headers of a caller's request.
constexpr std::size_t maxItems = 100000;
// Keeps the headers of an answer well below what a client reads. The others are learned from further answers.
constexpr std::size_t maxLeavingEndpoints = 32;

} // namespace

nlohmann::json parseMessage(const std::string& body)
{
    if (!isBoundedCbor(body, maxDepth, maxItems))
        return nlohmann::json(nlohmann::json::value_t::discarded);
    return nlohmann::json::from_cbor(body, true, false);
}

std::vector<std::string> readStrings(const nlohmann::json& json) { return json.get<std::vector<std::string>>(); }

Milliseconds readMilliseconds(std::string_view text)
{
    std::uint32_t milliseconds = 0;
    std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    return Milliseconds(milliseconds);
}

std::optional<std::uint32_t> readAttempts(std::string_view text)
{
    std::uint32_t attempts = 0;
    const char* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, attempts);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return attempts;
}

Milliseconds readTimeLeft(const HttpRequest& http) { return readMilliseconds(findField(http.m_fields, deadlineField)); }

void appendLeavingEndpoints(HttpResponse& response, const std::vector<EndpointLifetime>& endpoints)
{
    for (std::size_t index = 0; index < std::min(endpoints.size(), maxLeavingEndpoints); ++index)
        response.m_fields.push_back({ leavingEndpointField,
            std::to_string(endpoints[index].m_incarnation.value()) + " " + endpoints[index].m_id.value() });
}

std::optional<EndpointLifetime> readLeavingEndpoint(std::string_view text)
{
    const std::size_t space = text.find(' ');
    if (space == std::string_view::npos || space + 1 == text.size())
        return std::nullopt;
    std::uint64_t incarnation = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + space, incarnation);
    if (parsed.ec != std::errc() || parsed.ptr != text.data() + space)
        return std::nullopt;
    return EndpointLifetime { EndpointId(std::string(text.substr(space + 1))), Incarnation(incarnation) };
}

void appendRefusal(HttpResponse& response, Milliseconds retryAfter)
{
    response.m_fields.push_back({ notRunField, "1" });
    response.m_fields.push_back({ retryAfterField, std::to_string(retryAfter.count()) });
}

} // namespace flamingo::detail
