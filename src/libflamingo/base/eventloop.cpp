#include "base/eventloop.h"

#include "base/log.h"

#include <exception>

namespace flamingo {

void runEventLoop(boost::asio::io_context& io)
{
    while (true) {
        try {
            io.run();
            return;
        } catch (const std::exception& exception) {
            FLAMINGO_LOG(Error, "event handler failed", { "reason", exception.what() });
        }
    }
}

} // namespace flamingo
