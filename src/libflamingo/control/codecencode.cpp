#include "control/cborwriter.h"
#include "control/codec.h"
#include "control/messagenames.h"
#include "control/recordfields.h"

namespace flamingo {

namespace {

using detail::Fields;
using detail::HasFields;

// A struct is written as an array of its fields in the order of recordfields.h.

void write(CborWriter& writer, const PublishedState& state);
template <typename T> void write(CborWriter& writer, const T& value);

void writeLibraryType(CborWriter& writer, const std::string& value) { writer.text(value); }
void writeLibraryType(CborWriter& writer, const Milliseconds& value) { writer.signedInteger(value.count()); }
template <typename Tag, typename T> void writeLibraryType(CborWriter& writer, const StrongValue<Tag, T>& value)
{
    write(writer, value.value());
}
template <typename T> void writeLibraryType(CborWriter& writer, const std::optional<T>& value)
{
    if (value)
        write(writer, *value);
    else
        writer.null();
}
template <typename R> void writeRange(CborWriter& writer, const R& values)
{
    writer.array(values.size());
    for (const auto& value : values)
        write(writer, value);
}
template <typename T> void writeLibraryType(CborWriter& writer, const std::vector<T>& values)
{
    writeRange(writer, values);
}
template <typename T> void writeLibraryType(CborWriter& writer, const std::set<T>& values)
{
    writeRange(writer, values);
}
template <typename K, typename V> void writeLibraryType(CborWriter& writer, const std::map<K, V>& values)
{
    writer.array(values.size());
    for (const auto& [key, value] : values) {
        writer.array(2);
        write(writer, key);
        write(writer, value);
    }
}
template <typename... Ts> void writeLibraryType(CborWriter& writer, const std::variant<Ts...>& value)
{
    writer.array(2);
    writer.unsignedInteger(value.index());
    std::visit([&writer](const auto& alternative) { write(writer, alternative); }, value);
}

template <typename T> void write(CborWriter& writer, const T& value)
{
    if constexpr (std::is_enum_v<T>) {
        writer.unsignedInteger(static_cast<std::uint64_t>(value));
    } else if constexpr (std::is_same_v<T, bool>) {
        writer.boolean(value);
    } else if constexpr (std::is_floating_point_v<T>) {
        writer.real(value);
    } else if constexpr (std::is_integral_v<T> && std::is_signed_v<T>) {
        writer.signedInteger(value);
    } else if constexpr (std::is_integral_v<T>) {
        writer.unsignedInteger(value);
    } else if constexpr (HasFields<T>::value) {
        std::size_t left = detail::presentFieldCount(value);
        writer.array(left);
        std::apply([&](const auto&... fields) { ((left > 0 ? (--left, write(writer, fields)) : void()), ...); },
            Fields<T>::tie(value));
    } else {
        writeLibraryType(writer, value);
    }
}

template <typename K, typename V> void writeRecords(CborWriter& writer, const std::map<K, V>& records)
{
    writer.array(records.size());
    for (const auto& [key, record] : records)
        write(writer, record);
}

void write(CborWriter& writer, const PublishedState& state)
{
    constexpr std::size_t requiredFields = 11;
    const std::size_t optionalFields = !state.m_evacuated.empty() ? 2 : !state.m_customers.empty() ? 1 : 0;
    writer.array(requiredFields + optionalFields);
    write(writer, state.m_revision);
    write(writer, state.m_configurationVersion);
    writeRecords(writer, state.m_services);
    writeRecords(writer, state.m_endpoints);
    write(writer, state.m_operatorDrains);
    writeRecords(writer, state.m_layouts);
    writeRecords(writer, state.m_vms);
    writeRecords(writer, state.m_quarantine);
    write(writer, state.m_routeHeader);
    writeRecords(writer, state.m_routes);
    writeRecords(writer, state.m_routedServices);
    if (optionalFields > 0)
        writeRecords(writer, state.m_customers);
    if (optionalFields > 1)
        write(writer, state.m_evacuated);
}

template <typename T> std::string envelope(const char* type, const T& body)
{
    CborWriter writer;
    writer.map(3);
    writer.text("v");
    writer.unsignedInteger(protocolVersion);
    writer.text("t");
    writer.text(type);
    writer.text("b");
    write(writer, body);
    return writer.take();
}

} // namespace

std::string encodeMessage(const ControlMessage& message)
{
    const char* type = detail::messageNames[message.index()];
    return std::visit([type](const auto& fields) { return envelope(type, fields); }, message);
}

std::string encodeProposedCommand(const ProposedCommand& entry) { return envelope("entry", entry); }

std::string encodeCommand(const Command& command) { return envelope("command", command); }

std::string encodePublishedState(const PublishedState& state) { return envelope("publishedState", state); }

std::string encodeControlState(const ControlState& state) { return envelope("controlState", state); }

} // namespace flamingo
