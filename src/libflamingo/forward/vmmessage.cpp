#include "forward/vmmessage.h"

#include "base/cborcheck.h"

#include <charconv>

namespace flamingo::detail {

namespace {

// A message is an array whose values are at most lists of texts.
constexpr std::size_t maxDepth = 3;
// Holds the shards of a group and the headers of a caller's request.
constexpr std::size_t maxItems = 100000;

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

void appendRefusal(HttpResponse& response, Milliseconds retryAfter)
{
    response.m_fields.push_back({ notRunField, "1" });
    response.m_fields.push_back({ retryAfterField, std::to_string(retryAfter.count()) });
}

} // namespace flamingo::detail
