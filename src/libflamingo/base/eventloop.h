#pragma once

#include <boost/asio/io_context.hpp>

namespace flamingo {

/**
 * Runs the event loop until it is stopped or out of work. An exception of one handler is logged and costs only what
 * that handler was doing.
 *
 * Not for loops that own replicated state, which a half-finished handler could leave inconsistent: such a process is
 * restarted instead. To be called on the thread of the loop.
 */
void runEventLoop(boost::asio::io_context& io);

} // namespace flamingo
