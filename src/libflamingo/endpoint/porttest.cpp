#include "endpoint/porttest.h"

#include "base/monotonictimer.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>

#include <memory>
#include <utility>

namespace flamingo {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

struct PortTest : std::enable_shared_from_this<PortTest> {
    PortTest(asio::io_context& io, std::function<void(PortState)> handler)
        : m_socket(io)
        , m_timer(io)
        , m_handler(std::move(handler))
    {
    }

    void finish(PortState state)
    {
        error_code ignored;
        m_socket.close(ignored);
        m_timer.cancel();
        if (const auto handler = std::exchange(m_handler, nullptr))
            handler(state);
    }

    asio::ip::tcp::socket m_socket;
    MonotonicTimer m_timer;
    std::function<void(PortState)> m_handler;
};

PortState stateOf(const error_code& error)
{
    if (!error)
        return PortState::Accepting;
    return error == asio::error::connection_refused ? PortState::Refusing : PortState::Silent;
}

} // namespace

void testPort(boost::asio::io_context& io, const std::string& address, std::uint16_t port, Milliseconds timeout,
    std::function<void(PortState)> handler)
{
    const auto test = std::make_shared<PortTest>(io, std::move(handler));
    error_code error;
    const auto ip = asio::ip::make_address(address, error);
    if (error) {
        asio::post(io, [test] { test->finish(PortState::Silent); });
        return;
    }
    test->m_timer.expires_after(timeout);
    test->m_timer.async_wait([test](error_code waited) {
        if (!waited)
            test->finish(PortState::Silent);
    });
    test->m_socket.async_connect({ ip, port }, [test](error_code result) { test->finish(stateOf(result)); });
}

} // namespace flamingo
