#include "api/jsonfields.h"

#include "api/utf8.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace flamingo::detail {

namespace {
using nlohmann::json;

// Limits the recursion when a parsed value is serialised.
constexpr int maxDepth = 64;
constexpr std::size_t maxNameBytes = 128;
constexpr std::size_t maxErrorBytes = 200;

struct TooDeep : std::runtime_error {
    TooDeep()
        : std::runtime_error("nested deeper than " + std::to_string(maxDepth) + " levels")
    {
    }
};

// Removes the JSON library's prefix, and limits the length of a message that may quote a long token.
std::string shortenedMessage(const std::string& message)
{
    const std::size_t prefix = message.find("] ");
    return message.substr(prefix == std::string::npos ? 0 : prefix + 2, maxErrorBytes);
}

bool isName(const std::string& value)
{
    return !value.empty() && value.size() <= maxNameBytes
        && std::all_of(value.begin(), value.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}
} // namespace

std::optional<json> parseJsonObject(std::string_view body, Reason& reason)
{
    if (!isValidUtf8(body)) {
        reason = Reason { ResultCode::InvalidUtf8, "the body is not valid UTF-8" };
        return std::nullopt;
    }
    try {
        const auto checkDepth = [](int depth, json::parse_event_t, json&) {
            if (depth > maxDepth)
                throw TooDeep();
            return true;
        };
        json value = json::parse(body, checkDepth);
        if (value.is_object())
            return value;
        reason = Reason { ResultCode::MalformedBody, "the body is not a JSON object" };
    } catch (const std::exception& error) {
        reason = Reason { ResultCode::MalformedBody, "the body is not valid JSON: " + shortenedMessage(error.what()) };
    }
    return std::nullopt;
}

JsonFields::JsonFields(const json& object, std::string path, Reason& reason)
    : m_object(object)
    , m_path(std::move(path))
    , m_reason(reason)
{
    if (!m_object.is_object())
        fail("", "must be an object");
}

void JsonFields::fail(const std::string& field, const std::string& text)
{
    if (m_failed)
        return;
    m_failed = true;
    m_reason = Reason { ResultCode::InvalidField, "field \"" + m_path + field + "\" " + text };
}

const json* JsonFields::find(const char* field, Presence presence)
{
    m_readFields.insert(field);
    if (m_failed)
        return nullptr;
    const auto found = m_object.find(field);
    if (found != m_object.end())
        return &*found;
    if (presence == Required)
        fail(field, "is missing");
    return nullptr;
}

std::string JsonFields::name(const char* field, Presence presence)
{
    const json* value = find(field, presence);
    if (!value)
        return "";
    if (value->is_string() && isName(value->get_ref<const std::string&>()))
        return value->get<std::string>();
    fail(field, "must be a string of 1 to 128 visible ASCII characters without spaces");
    return "";
}

std::string JsonFields::text(const char* field, Presence presence)
{
    const json* value = find(field, presence);
    if (!value)
        return "";
    if (value->is_string())
        return value->get<std::string>();
    fail(field, "must be a string");
    return "";
}

std::string JsonFields::payload(const char* field, Presence presence)
{
    const json* value = find(field, presence);
    if (!value)
        return "";
    if (value->is_string())
        return value->get<std::string>();
    if (value->is_structured())
        return value->dump();
    fail(field, "must be a string, an object or an array");
    return "";
}

std::optional<std::uint64_t> JsonFields::integer(
    const char* field, Presence presence, std::uint64_t low, std::uint64_t high)
{
    const json* value = find(field, presence);
    if (!value)
        return std::nullopt;
    if (value->is_number_unsigned()) {
        const auto number = value->get<std::uint64_t>();
        if (number >= low && number <= high)
            return number;
    }
    fail(field, "must be an integer from " + std::to_string(low) + " to " + std::to_string(high));
    return std::nullopt;
}

std::optional<double> JsonFields::fraction(const char* field, Presence presence)
{
    const json* value = find(field, presence);
    if (!value)
        return std::nullopt;
    if (value->is_number()) {
        const auto number = value->get<double>();
        if (std::isfinite(number) && number >= 0.0 && number <= 1.0)
            return number;
    }
    fail(field, "must be a number from 0 to 1");
    return std::nullopt;
}

const json* JsonFields::array(const char* field, Presence presence, std::size_t maxSize)
{
    const json* value = find(field, presence);
    if (!value)
        return nullptr;
    if (value->is_array() && value->size() <= maxSize)
        return value;
    fail(field, "must be an array of at most " + std::to_string(maxSize) + " elements");
    return nullptr;
}

bool JsonFields::finish()
{
    if (m_failed)
        return false;
    for (const auto& [key, value] : m_object.items()) {
        if (m_readFields.count(key) == 0) {
            fail(key.substr(0, maxNameBytes), "is unknown");
            return false;
        }
    }
    return true;
}

} // namespace flamingo::detail
