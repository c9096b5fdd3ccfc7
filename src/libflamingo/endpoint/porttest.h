#pragma once

#include "base/time.h"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace flamingo {

/** What a port does with a new connection. */
enum class PortState {
    Accepting,
    Refusing, // no process listens there
    Silent, // no answer within the time limit, or the address is invalid
};

/**
 * Opens a connection, sends nothing and closes it.
 *
 * The handler is called exactly once, on the thread of the io_context, and never before this returns. Not thread-safe.
 */
void testPort(boost::asio::io_context& io, const std::string& address, std::uint16_t port, Milliseconds timeout,
    std::function<void(PortState)> handler);

} // namespace flamingo
