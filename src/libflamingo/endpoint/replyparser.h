#pragma once

#include "endpoint/endpointprotocol.h"

#include <boost/beast/http/basic_parser.hpp>

#include <cstddef>
#include <cstdint>

namespace flamingo::detail {

/**
 * Parses an HTTP answer straight into a reply.
 *
 * Keeps only the headers that a reply holds. Beast's own message type stores all of them in a sorted
 * tree, one allocation each; with it one call took 24,300 instructions outside the kernel instead of
 * 16,200 (bench/clientcost under callgrind). Not thread-safe.
 */
class ReplyParser final : public boost::beast::http::basic_parser<false> {
public:
    /** Expects one answer of at most the given size. */
    ReplyParser(const EndpointProtocol& protocol, std::uint64_t bodyLimit);

    /** Returns the HTTP status. The header must be done. */
    unsigned status() const { return m_reply.m_status; }

    /** Returns the request that the answer names; empty if it names none. The header must be done. */
    const RequestId& request() const { return m_reply.m_request; }

    /** Returns the reply and leaves the parser useless. The answer must be done. */
    EndpointReply takeReply();

private:
    using error_code = boost::beast::error_code;
    using string_view = boost::beast::string_view;

    void on_request_impl(
        boost::beast::http::verb method, string_view name, string_view target, int version, error_code& error) override;
    void on_response_impl(int code, string_view reason, int version, error_code& error) override;
    void on_field_impl(
        boost::beast::http::field field, string_view name, string_view value, error_code& error) override;
    void on_header_impl(error_code& error) override;
    void on_body_init_impl(const boost::optional<std::uint64_t>& contentLength, error_code& error) override;
    std::size_t on_body_impl(string_view body, error_code& error) override;
    void on_chunk_header_impl(std::uint64_t size, string_view extensions, error_code& error) override;
    std::size_t on_chunk_body_impl(std::uint64_t remain, string_view body, error_code& error) override;
    void on_finish_impl(error_code& error) override;

    const EndpointProtocol& m_protocol;
    EndpointReply m_reply;
};

} // namespace flamingo::detail
