#include "endpoint/replyparser.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <utility>

namespace flamingo::detail {

namespace http = boost::beast::http;

namespace {

// In bytes. An endpoint that announces more than it sends must not make this process allocate the maximum body size.
constexpr std::uint64_t maxBodyReservation = 65536;
constexpr unsigned firstErrorStatus = 400;
// Statuses that no server may send, or not without an upgrade that this client never asks for.
constexpr int firstInterimStatus = 100;
constexpr int switchingProtocols = 101;
constexpr int lastStatus = 599;

std::string_view toStringView(boost::beast::string_view text) { return { text.data(), text.size() }; }

} // namespace

ReplyParser::ReplyParser(const EndpointProtocol& protocol, std::uint64_t bodyLimit)
    : m_protocol(protocol)
{
    body_limit(bodyLimit);
    eager(true);
    m_reply.m_outcome = CallOutcome::Answered;
}

EndpointReply ReplyParser::takeReply()
{
    // A success status contradicts "not run". Such an answer must not cause the request to be sent again.
    m_reply.m_notRun = m_reply.m_notRun && m_reply.m_status >= firstErrorStatus;
    return std::move(m_reply);
}

void ReplyParser::on_request_impl(http::verb, string_view, string_view, int, error_code&) { }

void ReplyParser::on_response_impl(int code, string_view, int, error_code& error)
{
    if (code < firstInterimStatus || code > lastStatus || code == switchingProtocols) {
        error = http::error::bad_status;
        return;
    }
    m_reply.m_status = static_cast<unsigned>(code);
}

void ReplyParser::on_field_impl(http::field, string_view name, string_view value, error_code&)
{
    m_protocol.m_readField(m_reply, toStringView(name), toStringView(value));
}

void ReplyParser::on_header_impl(error_code&) { }

void ReplyParser::on_body_init_impl(const boost::optional<std::uint64_t>& contentLength, error_code&)
{
    if (contentLength)
        m_reply.m_body.reserve(static_cast<std::size_t>(std::min(*contentLength, maxBodyReservation)));
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
