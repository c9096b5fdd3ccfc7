#include "quota/quotawire.h"

#include "base/cborcheck.h"
#include "control/cborwriter.h"

#include <nlohmann/json.hpp>

#include <limits>
#include <stdexcept>

namespace flamingo {

namespace {

using Json = nlohmann::json;

enum class MessageType : std::uint64_t {
    Usage = 1,
    Answer = 2,
    Announcement = 3,
};

constexpr std::size_t usageFieldCount = 7;
constexpr std::size_t statusFieldCount = 7;
constexpr std::size_t maxDepth = 1;
constexpr std::size_t maxItems = 16;
constexpr Milliseconds maxRetryAfter { 60000 };

void writeStatus(CborWriter& writer, MessageType type, const VmId& from, const QuotaStatus& status)
{
    writer.array(statusFieldCount);
    writer.unsignedInteger(static_cast<std::uint64_t>(type));
    writer.text(from.value());
    writer.text(status.m_customer.value());
    writer.unsignedInteger(status.m_confirmed);
    writer.unsignedInteger(status.m_granted);
    writer.boolean(status.m_exhausted);
    writer.unsignedInteger(static_cast<std::uint64_t>(status.m_retryAfter.count()));
}

/** Encodes each type of message. */
struct Encoder {
    CborWriter& m_writer;

    void operator()(const QuotaUsage& usage) const
    {
        m_writer.array(usageFieldCount);
        m_writer.unsignedInteger(static_cast<std::uint64_t>(MessageType::Usage));
        m_writer.text(usage.m_vm.value());
        m_writer.unsignedInteger(usage.m_incarnation.value());
        m_writer.text(usage.m_customer.value());
        m_writer.unsignedInteger(usage.m_from);
        m_writer.unsignedInteger(usage.m_to);
        m_writer.unsignedInteger(usage.m_wanted);
    }
    void operator()(const QuotaAnswer& answer) const
    {
        writeStatus(m_writer, MessageType::Answer, answer.m_from, answer.m_status);
    }
    void operator()(const QuotaAnnouncement& announcement) const
    {
        writeStatus(m_writer, MessageType::Announcement, announcement.m_from, announcement.m_status);
    }
};

std::uint64_t readNumber(const Json& json, std::uint64_t largest = std::numeric_limits<std::uint64_t>::max())
{
    if (!json.is_number_unsigned() || json.get<std::uint64_t>() > largest)
        throw std::out_of_range("not an unsigned integer within its range");
    return json.get<std::uint64_t>();
}

std::uint32_t readCount(const Json& json)
{
    return static_cast<std::uint32_t>(readNumber(json, std::numeric_limits<std::uint32_t>::max()));
}

// Precondition of the functions below: the JSON is an array of the message's length. They throw an exception for a
// value of a wrong type.
QuotaUsage readUsage(const Json& json)
{
    QuotaUsage usage;
    usage.m_vm = VmId(json[1].get<std::string>());
    usage.m_incarnation = Incarnation(readNumber(json[2]));
    usage.m_customer = CustomerName(json[3].get<std::string>());
    usage.m_from = readNumber(json[4]);
    usage.m_to = readNumber(json[5]);
    usage.m_wanted = readCount(json[6]);
    return usage;
}

QuotaStatus readStatus(const Json& json)
{
    QuotaStatus status;
    status.m_customer = CustomerName(json[2].get<std::string>());
    status.m_confirmed = readNumber(json[3]);
    status.m_granted = readCount(json[4]);
    status.m_exhausted = json[5].get<bool>();
    status.m_retryAfter = Milliseconds(readNumber(json[6], static_cast<std::uint64_t>(maxRetryAfter.count())));
    return status;
}

std::optional<QuotaMessage> readMessage(const Json& json)
{
    const auto type = static_cast<MessageType>(readNumber(json[0]));
    if (type == MessageType::Usage && json.size() == usageFieldCount)
        return readUsage(json);
    if (type == MessageType::Answer && json.size() == statusFieldCount)
        return QuotaAnswer { VmId(json[1].get<std::string>()), readStatus(json) };
    if (type == MessageType::Announcement && json.size() == statusFieldCount)
        return QuotaAnnouncement { VmId(json[1].get<std::string>()), readStatus(json) };
    return std::nullopt;
}

} // namespace

std::string encodeQuotaMessage(const QuotaMessage& message)
{
    CborWriter writer;
    std::visit(Encoder { writer }, message);
    return writer.take();
}

std::optional<QuotaMessage> decodeQuotaMessage(std::string_view datagram)
{
    if (!isBoundedCbor(datagram, maxDepth, maxItems))
        return std::nullopt;
    const Json json = Json::from_cbor(datagram, true, false);
    if (!json.is_array() || json.empty())
        return std::nullopt;
    try {
        return readMessage(json);
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

} // namespace flamingo
