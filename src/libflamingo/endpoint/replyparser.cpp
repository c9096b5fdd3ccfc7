#include "endpoint/replyparser.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <charconv>
#include <cmath>
#include <string>
#include <string_view>
#include <utility>

namespace flamingo::detail {

namespace http = boost::beast::http;
using boost::beast::iequals;

namespace {

// An endpoint that announces more than it sends must not make this process reserve the whole limit.
constexpr std::uint64_t largestReservation = 65536;
constexpr Milliseconds maximumRetryAfter { 60000 };
constexpr unsigned firstErrorStatus = 400;

std::string_view view(boost::beast::string_view text) { return { text.data(), text.size() }; }

/** Returns the number that the whole text stands for, or zero. */
template <typename Number> Number numberOrZero(boost::beast::string_view text)
{
    Number number {};
    const char* end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, number);
    if (result.ec != std::errc() || result.ptr != end)
        return Number {};
    return number;
}

} // namespace

ReplyParser::ReplyParser(std::uint64_t bodyLimit)
{
    body_limit(bodyLimit);
    eager(true);
    m_reply.m_outcome = CallOutcome::Answered;
}

EndpointReply ReplyParser::takeReply()
{
    // A success that claims not to have run contradicts itself; it must not lead to a resend.
    m_reply.m_notRun = m_reply.m_notRun && m_reply.m_status >= firstErrorStatus;
    return std::move(m_reply);
}

void ReplyParser::on_request_impl(http::verb, string_view, string_view, int, error_code&) { }

void ReplyParser::on_response_impl(int code, string_view, int, error_code&)
{
    m_reply.m_status = static_cast<unsigned>(code);
}

void ReplyParser::on_field_impl(http::field field, string_view name, string_view value, error_code&)
{
    if (field != http::field::unknown)
        return;
    if (iequals(name, "X-Flamingo-Request")) {
        m_reply.m_request = RequestId(std::string(view(value)));
    } else if (iequals(name, "X-Flamingo-Attempt")) {
        m_reply.m_attempt = AttemptNumber(numberOrZero<std::uint32_t>(value));
    } else if (iequals(name, "X-Flamingo-Snapshot")) {
        m_reply.m_snapshot = SnapshotVersion(numberOrZero<std::uint64_t>(value));
    } else if (iequals(name, "X-Flamingo-Layout")) {
        m_reply.m_layout = LayoutId(numberOrZero<std::uint64_t>(value));
    } else if (iequals(name, "X-Flamingo-Shard")) {
        m_reply.m_shard = ShardIndex(numberOrZero<std::uint32_t>(value));
    } else if (iequals(name, "X-Flamingo-Load")) {
        const auto load = numberOrZero<double>(value);
        m_reply.m_load = std::isfinite(load) ? std::clamp(load, 0.0, 1.0) : 0.0;
    } else if (iequals(name, "X-Flamingo-Not-Run")) {
        m_reply.m_notRun = value == "1";
    } else if (iequals(name, "Retry-After-Ms")) {
        m_reply.m_retryAfter = std::min(Milliseconds(numberOrZero<std::uint32_t>(value)), maximumRetryAfter);
    }
}

void ReplyParser::on_header_impl(error_code&) { }

void ReplyParser::on_body_init_impl(const boost::optional<std::uint64_t>& contentLength, error_code&)
{
    if (contentLength)
        m_reply.m_body.reserve(static_cast<std::size_t>(std::min(*contentLength, largestReservation)));
}

std::size_t ReplyParser::on_body_impl(string_view body, error_code&)
{
    m_reply.m_body.append(body.data(), body.size());
    return body.size();
}

void ReplyParser::on_chunk_header_impl(std::uint64_t, string_view, error_code&) { }

std::size_t ReplyParser::on_chunk_body_impl(std::uint64_t, string_view body, error_code&)
{
    m_reply.m_body.append(body.data(), body.size());
    return body.size();
}

void ReplyParser::on_finish_impl(error_code&) { }

} // namespace flamingo::detail
