#include "endpoint/porttest.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>

#include <optional>

using namespace flamingo;
using boost::asio::ip::tcp;

// Guards against taking an endpoint for ended that only closed a connection.
TEST_CASE("a port test tells an endpoint that has ended from one that listens", "[endpoint]")
{
    boost::asio::io_context io;
    tcp::acceptor acceptor(io, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    const std::uint16_t port = acceptor.local_endpoint().port();
    std::optional<PortState> state;
    const auto test = [&](const std::string& address, Milliseconds timeout) {
        state.reset();
        io.restart();
        testPort(io, address, port, timeout, [&](PortState result) {
            REQUIRE_FALSE(state);
            state = result;
        });
        REQUIRE_FALSE(state);
        io.run();
        return state;
    };

    SECTION("one that listens") { CHECK(test("127.0.0.1", Milliseconds(5000)) == PortState::Accepting); }
    SECTION("one that has ended")
    {
        acceptor.close();
        CHECK(test("127.0.0.1", Milliseconds(5000)) == PortState::Refusing);
    }
    SECTION("one that is not answered in time counts as silent, like an address that cannot be read")
    {
        CHECK(test("127.0.0.1", Milliseconds(-1)) != PortState::Refusing);
        CHECK(test("here", Milliseconds(5000)) == PortState::Silent);
    }
}
