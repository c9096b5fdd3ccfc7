#pragma once

#include <websocketpp/concurrency/none.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/connection.hpp>
#include <websocketpp/logger/stub.hpp>
#include <websocketpp/transport/asio/endpoint.hpp>

namespace flamingo::detail {

/**
 * Compile-time configuration of websocketpp for servers and clients.
 *
 * Included only by the sources of this folder, since websocketpp compiles slowly. Uses no locks, because a link is
 * used by one thread only, and no logger, because links report errors as Reason.
 */
struct LinkConfig : public websocketpp::config::core_client {
    // NOLINTBEGIN(readability-identifier-naming): websocketpp looks these names up.
    using type = LinkConfig;
    using concurrency_type = websocketpp::concurrency::none;
    using elog_type = websocketpp::log::stub;
    using alog_type = websocketpp::log::stub;
    using rng_type = websocketpp::random::random_device::int_generator<std::uint32_t, concurrency_type>;
    static const bool enable_multithreading = false;

    struct transport_config : public websocketpp::config::core_client::transport_config {
        using concurrency_type = type::concurrency_type;
        using elog_type = type::elog_type;
        using alog_type = type::alog_type;
        using request_type = type::request_type;
        using response_type = type::response_type;
        using socket_type = websocketpp::transport::asio::basic_socket::endpoint;
        static const bool enable_multithreading = false;
    };
    using transport_type = websocketpp::transport::asio::endpoint<transport_config>;

    // In bytes. Handshakes have no body; a request with a larger one is refused before the body is buffered.
    static const std::size_t max_http_body_size = 1024;
    // NOLINTEND(readability-identifier-naming)
};

using LinkConnection = websocketpp::connection<LinkConfig>;

} // namespace flamingo::detail
