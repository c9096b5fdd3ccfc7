#include "control/codec.h"

#include "control/applychange.h"
#include "control/messagenames.h"
#include "control/recordfields.h"

#include <nlohmann/json.hpp>

#include <array>
#include <limits>

namespace flamingo {

namespace {

using detail::EnumLimit;
using detail::Fields;
using detail::HasFields;
using Json = nlohmann::json;

// Valid values are nested far less deeply; the limit keeps malicious input from exhausting the stack.
constexpr int maxDepth = 32;

// --- Decoding.

bool fail(Reason& reason, const std::string& text)
{
    reason = Reason { ResultCode::MalformedBody, text };
    return false;
}

bool fromJson(const Json& json, PublishedState& state, Reason& reason);
template <typename T> bool fromJson(const Json& json, T& value, Reason& reason);

template <typename T> bool integerFromJson(const Json& json, T& value, Reason& reason)
{
    if (json.is_number_unsigned()) {
        const auto number = json.get<std::uint64_t>();
        if (number > static_cast<std::uint64_t>(std::numeric_limits<T>::max()))
            return fail(reason, "number " + std::to_string(number) + " is out of range");
        value = static_cast<T>(number);
        return true;
    }
    if (!json.is_number_integer())
        return fail(reason, std::string("expected an integer, found ") + json.type_name());
    const auto number = json.get<std::int64_t>();
    if (std::is_unsigned_v<T> || number < static_cast<std::int64_t>(std::numeric_limits<T>::min()))
        return fail(reason, "number " + std::to_string(number) + " is out of range");
    value = static_cast<T>(number);
    return true;
}

template <typename E> bool enumFromJson(const Json& json, E& value, Reason& reason)
{
    std::uint32_t number = 0;
    if (!integerFromJson(json, number, reason))
        return false;
    if (number > static_cast<std::uint32_t>(EnumLimit<E>::last))
        return fail(reason, "unknown enumeration value " + std::to_string(number));
    value = static_cast<E>(number);
    return true;
}

bool expectArray(const Json& json, Reason& reason)
{
    return json.is_array() || fail(reason, std::string("expected an array, found ") + json.type_name());
}

bool libraryTypeFromJson(const Json& json, std::string& value, Reason& reason)
{
    if (!json.is_string())
        return fail(reason, std::string("expected a string, found ") + json.type_name());
    value = json.get_ref<const std::string&>();
    return true;
}
bool libraryTypeFromJson(const Json& json, Milliseconds& value, Reason& reason)
{
    std::int64_t count = 0;
    if (!integerFromJson(json, count, reason))
        return false;
    value = Milliseconds(count);
    return true;
}
template <typename Tag, typename T>
bool libraryTypeFromJson(const Json& json, StrongValue<Tag, T>& value, Reason& reason)
{
    T plain {};
    if (!fromJson(json, plain, reason))
        return false;
    value = StrongValue<Tag, T>(std::move(plain));
    return true;
}
template <typename T> bool libraryTypeFromJson(const Json& json, std::optional<T>& value, Reason& reason)
{
    value.reset();
    return json.is_null() || fromJson(json, value.emplace(), reason);
}
template <typename T> bool libraryTypeFromJson(const Json& json, std::vector<T>& values, Reason& reason)
{
    if (!expectArray(json, reason))
        return false;
    values.clear();
    values.reserve(json.size());
    for (const Json& element : json) {
        T value {};
        if (!fromJson(element, value, reason))
            return false;
        values.push_back(std::move(value));
    }
    return true;
}
template <typename T> bool libraryTypeFromJson(const Json& json, std::set<T>& values, Reason& reason)
{
    if (!expectArray(json, reason))
        return false;
    values.clear();
    for (const Json& element : json) {
        T value {};
        if (!fromJson(element, value, reason))
            return false;
        values.insert(values.end(), std::move(value));
    }
    return true;
}
template <typename K, typename V> bool libraryTypeFromJson(const Json& json, std::map<K, V>& values, Reason& reason)
{
    if (!expectArray(json, reason))
        return false;
    values.clear();
    for (const Json& element : json) {
        if (!element.is_array() || element.size() != 2)
            return fail(reason, "expected a pair of key and value");
        K key {};
        V value {};
        if (!fromJson(element[0], key, reason) || !fromJson(element[1], value, reason))
            return false;
        values.insert_or_assign(std::move(key), std::move(value));
    }
    return true;
}

template <typename Variant, std::size_t index = 0>
bool alternativeFromJson(std::size_t wanted, const Json& json, Variant& value, Reason& reason)
{
    if constexpr (index < std::variant_size_v<Variant>) {
        if (wanted == index)
            return fromJson(json, value.template emplace<index>(), reason);
        return alternativeFromJson<Variant, index + 1>(wanted, json, value, reason);
    } else {
        return fail(reason, "unknown type " + std::to_string(wanted));
    }
}
template <typename... Ts> bool libraryTypeFromJson(const Json& json, std::variant<Ts...>& value, Reason& reason)
{
    if (!json.is_array() || json.size() != 2)
        return fail(reason, "expected a pair of type and fields");
    std::uint32_t type = 0;
    return integerFromJson(json[0], type, reason) && alternativeFromJson(type, json[1], value, reason);
}

template <typename T> bool fieldFromJson(const Json& array, std::size_t& index, T& field, Reason& reason)
{
    if (fromJson(array[index], field, reason)) {
        ++index;
        return true;
    }
    return false;
}

template <typename T> bool structFromJson(const Json& json, T& value, Reason& reason)
{
    const auto fields = Fields<T>::tie(value);
    constexpr std::size_t count = std::tuple_size_v<decltype(fields)>;
    constexpr std::size_t required = count - detail::OptionalFieldCount<T>::value;
    if (!json.is_array() || json.size() < required || json.size() > count)
        return fail(reason,
            std::string(Fields<T>::name) + ": expected " + std::to_string(count) + " fields, found "
                + (json.is_array() ? std::to_string(json.size()) : json.type_name()));
    std::size_t index = 0;
    const bool ok = std::apply(
        [&](auto&... field) {
            return ((index >= json.size() || fieldFromJson(json, index, field, reason)) && ... && true);
        },
        fields);
    if (!ok)
        reason.m_text = std::string(Fields<T>::name) + " field " + std::to_string(index) + ": " + reason.m_text;
    return ok;
}

template <typename T> bool fromJson(const Json& json, T& value, Reason& reason)
{
    if constexpr (std::is_same_v<T, ResultCode>) {
        std::uint32_t number = 0;
        if (!integerFromJson(json, number, reason))
            return false;
        value = static_cast<ResultCode>(number);
        return resultCodeName(value) != "Unlisted" || fail(reason, "unknown result code " + std::to_string(number));
    } else if constexpr (std::is_enum_v<T>) {
        return enumFromJson(json, value, reason);
    } else if constexpr (std::is_same_v<T, bool>) {
        if (!json.is_boolean())
            return fail(reason, std::string("expected a boolean, found ") + json.type_name());
        value = json.get<bool>();
        return true;
    } else if constexpr (std::is_floating_point_v<T>) {
        if (!json.is_number())
            return fail(reason, std::string("expected a number, found ") + json.type_name());
        value = json.get<T>();
        return true;
    } else if constexpr (std::is_integral_v<T>) {
        return integerFromJson(json, value, reason);
    } else if constexpr (HasFields<T>::value) {
        return structFromJson(json, value, reason);
    } else {
        return libraryTypeFromJson(json, value, reason);
    }
}

template <typename Record> bool recordsFromJson(const Json& json, PublishedState& state, Reason& reason)
{
    if (!expectArray(json, reason))
        return false;
    for (const Json& element : json) {
        Change change = Record {};
        if (!fromJson(element, std::get<Record>(change), reason))
            return false;
        applyChange(state, change);
    }
    return true;
}

bool fromJson(const Json& json, PublishedState& state, Reason& reason)
{
    constexpr std::size_t required = 11;
    constexpr std::size_t count = 13;
    if (!json.is_array() || json.size() < required || json.size() > count)
        return fail(reason,
            "PublishedState: expected " + std::to_string(required) + " to " + std::to_string(count) + " fields");
    std::vector<EndpointId> drains;
    std::vector<DataCentreName> evacuated;
    state = PublishedState {};
    const bool ok = fromJson(json[0], state.m_revision, reason)
        && fromJson(json[1], state.m_configurationVersion, reason)
        && recordsFromJson<ServiceDefinition>(json[2], state, reason)
        && recordsFromJson<EndpointRecord>(json[3], state, reason) && fromJson(json[4], drains, reason)
        && recordsFromJson<SnapshotLayout>(json[5], state, reason) && recordsFromJson<VmRecord>(json[6], state, reason)
        && recordsFromJson<QuarantineRecord>(json[7], state, reason) && fromJson(json[8], state.m_routeHeader, reason)
        && recordsFromJson<Route>(json[9], state, reason) && recordsFromJson<RoutedService>(json[10], state, reason)
        && (json.size() < 12 || recordsFromJson<Customer>(json[11], state, reason))
        && (json.size() < 13 || fromJson(json[12], evacuated, reason));
    for (const EndpointId& endpoint : drains)
        applyChange(state, OperatorDrainChange { endpoint, true });
    for (const DataCentreName& dataCentre : evacuated)
        applyChange(state, EvacuationChange { dataCentre, true });
    return ok;
}

// --- Envelope: the map of protocol version, type and body around each value.

// Builds the JSON value and rejects nesting or lengths that a valid value cannot have, before they exhaust the
// stack or cause an exception.
class BoundedParser : public nlohmann::detail::json_sax_dom_parser<Json> {
public:
    BoundedParser(Json& result, std::size_t inputSize)
        : json_sax_dom_parser(result, false)
        , m_inputSize(inputSize)
    {
    }

    bool start_object(std::size_t size) // NOLINT(readability-identifier-naming)
    {
        return enter(size) && json_sax_dom_parser::start_object(size);
    }
    bool end_object() // NOLINT(readability-identifier-naming)
    {
        --m_depth;
        return json_sax_dom_parser::end_object();
    }
    bool start_array(std::size_t size) // NOLINT(readability-identifier-naming)
    {
        return enter(size) && json_sax_dom_parser::start_array(size);
    }
    bool end_array() // NOLINT(readability-identifier-naming)
    {
        --m_depth;
        return json_sax_dom_parser::end_array();
    }

private:
    bool enter(std::size_t size)
    {
        const bool sizeKnown = size != std::numeric_limits<std::size_t>::max();
        return ++m_depth <= maxDepth && (!sizeKnown || size <= m_inputSize);
    }

    std::size_t m_inputSize;
    int m_depth = 0;
};

std::optional<Json> openEnvelope(std::string_view bytes, std::string& type, Reason& reason)
{
    Json json;
    BoundedParser parser(json, bytes.size());
    if (!Json::sax_parse(bytes, &parser, Json::input_format_t::cbor)) {
        fail(reason, "not one whole CBOR value");
        return std::nullopt;
    }
    if (!json.is_object() || !json.contains("v") || !json.contains("t") || !json.contains("b")) {
        fail(reason, "expected a map with the keys v, t and b");
        return std::nullopt;
    }
    std::uint32_t version = 0;
    if (!fromJson(json["v"], version, reason) || !fromJson(json["t"], type, reason))
        return std::nullopt;
    if (version != protocolVersion) {
        reason = Reason { ResultCode::UnsupportedProtocol,
            "protocol version " + std::to_string(version) + ", this process speaks version "
                + std::to_string(protocolVersion) };
        return std::nullopt;
    }
    return std::move(json["b"]);
}

template <typename T> std::optional<T> decodeAs(const char* expected, std::string_view bytes, Reason& reason)
{
    std::string type;
    const std::optional<Json> body = openEnvelope(bytes, type, reason);
    if (!body)
        return std::nullopt;
    if (type != expected) {
        fail(reason, "expected type " + std::string(expected) + ", found " + type);
        return std::nullopt;
    }
    std::optional<T> value(std::in_place);
    if (!fromJson(*body, *value, reason))
        return std::nullopt;
    return value;
}

} // namespace

std::optional<ControlMessage> decodeMessage(std::string_view bytes, Reason& reason)
{
    std::string type;
    const std::optional<Json> body = openEnvelope(bytes, type, reason);
    if (!body)
        return std::nullopt;
    for (std::size_t index = 0; index < detail::messageNames.size(); ++index) {
        if (type != detail::messageNames[index])
            continue;
        ControlMessage message;
        if (!alternativeFromJson(index, *body, message, reason))
            return std::nullopt;
        return message;
    }
    fail(reason, "unknown message type " + type);
    return std::nullopt;
}

std::optional<ProposedCommand> decodeProposedCommand(std::string_view bytes, Reason& reason)
{
    return decodeAs<ProposedCommand>("entry", bytes, reason);
}

std::optional<Command> decodeCommand(std::string_view bytes, Reason& reason)
{
    return decodeAs<Command>("command", bytes, reason);
}

std::optional<PublishedState> decodePublishedState(std::string_view bytes, Reason& reason)
{
    return decodeAs<PublishedState>("publishedState", bytes, reason);
}

std::optional<ControlState> decodeControlState(std::string_view bytes, Reason& reason)
{
    auto state = decodeAs<ControlState>("controlState", bytes, reason);
    if (state)
        rebuildIndexes(*state);
    return state;
}

} // namespace flamingo
