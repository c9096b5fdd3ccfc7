#include "base/eventloop.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <stdexcept>

using namespace flamingo;

// Guards against a process that ends because the handler of one event hits a defect.
TEST_CASE("an exception in a handler does not end the event loop")
{
    boost::asio::io_context io;
    bool reached = false;
    boost::asio::post(io, [] { throw std::length_error("text too long"); });
    boost::asio::post(io, [&reached] { reached = true; });
    runEventLoop(io);
    CHECK(reached);
}
