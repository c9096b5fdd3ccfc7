#include "endpoint/requestheader.h"
#include "endpoint/endpointprotocol.h"

#include "base/rate.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <string_view>

namespace flamingo::detail {

namespace {

constexpr std::size_t typicalHeaderBytes = 384;

bool isPrintable(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c >= 0x20 && c != 0x7f; });
}

void appendNumber(std::string& out, std::uint64_t number)
{
    std::array<char, 20> digits;
    const auto result = std::to_chars(digits.data(), digits.data() + digits.size(), number);
    out.append(digits.data(), result.ptr);
}

void appendField(std::string& out, std::string_view name, std::string_view value)
{
    out.append(name).append(": ").append(value).append("\r\n");
}

void appendField(std::string& out, std::string_view name, std::uint64_t value)
{
    out.append(name).append(": ");
    appendNumber(out, value);
    out.append("\r\n");
}

constexpr Milliseconds maxRetryAfter { 60000 };

/** Parses the whole text as a number; returns zero if it is not valid. */
template <typename Number> Number parseNumberOrZero(std::string_view text)
{
    Number number {};
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (result.ec != std::errc() || result.ptr != end)
        return Number {};
    return number;
}

bool equalsIgnoringCase(std::string_view a, std::string_view b)
{
    return boost::beast::iequals({ a.data(), a.size() }, { b.data(), b.size() });
}

void readSnapshotField(EndpointReply& reply, std::string_view name, std::string_view value)
{
    if (equalsIgnoringCase(name, "X-Flamingo-Request")) {
        reply.m_request = RequestId(std::string(value));
    } else if (equalsIgnoringCase(name, "X-Flamingo-Attempt")) {
        reply.m_attempt = AttemptNumber(parseNumberOrZero<std::uint32_t>(value));
    } else if (equalsIgnoringCase(name, "X-Flamingo-Snapshot")) {
        reply.m_snapshot = SnapshotVersion(parseNumberOrZero<std::uint64_t>(value));
    } else if (equalsIgnoringCase(name, "X-Flamingo-Layout")) {
        reply.m_layout = LayoutId(parseNumberOrZero<std::uint64_t>(value));
    } else if (equalsIgnoringCase(name, "X-Flamingo-Shard")) {
        reply.m_shard = ShardIndex(parseNumberOrZero<std::uint32_t>(value));
    } else if (equalsIgnoringCase(name, "X-Flamingo-Load")) {
        const auto load = parseNumberOrZero<double>(value);
        reply.m_load = std::isfinite(load) ? std::clamp(load, 0.0, 1.0) : 0.0;
    } else if (equalsIgnoringCase(name, "X-Flamingo-Rate-Limit")) {
        reply.m_rateLimit = parseRate(value);
        reply.m_rateLimitMalformed = !reply.m_rateLimit;
    } else if (equalsIgnoringCase(name, "X-Flamingo-Not-Run")) {
        reply.m_notRun = value == "1";
    } else if (equalsIgnoringCase(name, "Retry-After-Ms")) {
        reply.m_retryAfter = std::min(Milliseconds(parseNumberOrZero<std::uint32_t>(value)), maxRetryAfter);
    }
}

} // namespace

bool hasValidHeaderTexts(const EndpointCall& call)
{
    return isPrintable(call.m_request.value()) && isPrintable(call.m_kind) && isPrintable(call.m_path)
        && !call.m_path.empty() && call.m_path.find(' ') == std::string::npos;
}

std::string formatRequestHeader(const EndpointCall& call, Milliseconds remaining)
{
    const bool isIpv6 = call.m_address.find(':') != std::string::npos;
    std::string header;
    header.reserve(typicalHeaderBytes);
    header.append("POST ").append(call.m_path).append(" HTTP/1.1\r\nHost: ");
    header.append(isIpv6 ? "[" : "").append(call.m_address).append(isIpv6 ? "]:" : ":");
    appendNumber(header, call.m_port);
    header.append("\r\nContent-Type: application/json\r\n");
    appendField(header, "Content-Length", call.m_body.size());
    appendField(header, "X-Flamingo-Request", call.m_request.value());
    appendField(header, "X-Flamingo-Attempt", call.m_attempt.value());
    appendField(header, "X-Flamingo-Snapshot", call.m_snapshot.value());
    appendField(header, "X-Flamingo-Layout", call.m_layout.value());
    appendField(header, "X-Flamingo-Shard", call.m_shard.value());
    if (!call.m_kind.empty())
        appendField(header, "X-Flamingo-Kind", call.m_kind);
    appendField(header, "X-Flamingo-Deadline-Ms",
        static_cast<std::uint64_t>(std::max<Milliseconds::rep>(remaining.count(), 0)));
    if (call.m_dedicatedConnection)
        appendField(header, "Connection", "close");
    header.append("\r\n");
    return header;
}

} // namespace flamingo::detail

namespace flamingo {

const EndpointProtocol& snapshotProtocol()
{
    static constexpr EndpointProtocol protocol { detail::hasValidHeaderTexts, detail::formatRequestHeader,
        detail::readSnapshotField };
    return protocol;
}

} // namespace flamingo
