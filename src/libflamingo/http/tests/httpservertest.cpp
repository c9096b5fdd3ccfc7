#include "http/httpserver.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <thread>

using namespace flamingo;
using Tcp = boost::asio::ip::tcp;

namespace {

/** A server whose requests the test answers, on a free port. */
struct ServerFixture {
    ServerFixture()
        : m_server(m_io, [this](std::shared_ptr<HttpExchange> exchange) { m_waiting.push_back(std::move(exchange)); })
    {
        Reason reason;
        for (std::uint16_t port = 18000; port < 18100 && !m_started; ++port) {
            m_port = port;
            m_started = m_server.start({ "127.0.0.1", port }, reason);
        }
        REQUIRE(m_started);
    }

    Tcp::socket connect()
    {
        Tcp::socket socket(m_callers);
        socket.connect({ boost::asio::ip::make_address("127.0.0.1"), m_port });
        return socket;
    }

    void send(Tcp::socket& socket, const std::string& text) { boost::asio::write(socket, boost::asio::buffer(text)); }

    /** Runs the server until the condition holds; false after a generous time. */
    template <typename Condition> bool runUntil(const Condition& condition)
    {
        for (int turn = 0; turn < 500 && !condition(); ++turn)
            m_io.run_for(std::chrono::milliseconds(10));
        return condition();
    }

    std::string readAll(Tcp::socket& socket)
    {
        std::string text;
        boost::system::error_code error;
        socket.non_blocking(true);
        runUntil([&] {
            char bytes[4096];
            const std::size_t count = socket.read_some(boost::asio::buffer(bytes), error);
            text.append(bytes, count);
            return error == boost::asio::error::eof || text.find("\r\n\r\n") != std::string::npos;
        });
        return text;
    }

    boost::asio::io_context m_io;
    boost::asio::io_context m_callers;
    std::vector<std::shared_ptr<HttpExchange>> m_waiting;
    HttpServer m_server;
    std::uint16_t m_port = 0;
    bool m_started = false;
};

const char request[] = "GET /a/1?x=y HTTP/1.1\r\nHost: h\r\nX-Other: kept\r\nConnection: keep-alive\r\n\r\n";

} // namespace

TEST_CASE("the HTTP server passes requests on and answers them", "[http]")
{
    ServerFixture fixture;
    Tcp::socket caller = fixture.connect();
    fixture.send(caller, request);
    REQUIRE(fixture.runUntil([&] { return fixture.m_waiting.size() == 1; }));
    HttpRequest& read = fixture.m_waiting[0]->request();
    CHECK(read.m_method == "GET");
    CHECK(read.m_target == "/a/1?x=y");
    CHECK(findField(read.m_fields, "x-other") == "kept");
    CHECK(findField(read.m_fields, "Connection").empty());
    CHECK(read.m_newConnection);

    SECTION("a kept connection carries the next request")
    {
        fixture.m_waiting[0]->respond({ 200, {}, "first" });
        CHECK(fixture.readAll(caller).find("HTTP/1.1 200 OK") == 0);
        fixture.send(caller, request);
        REQUIRE(fixture.runUntil([&] { return fixture.m_waiting.size() == 2; }));
        CHECK_FALSE(fixture.m_waiting[1]->request().m_newConnection);
    }
    SECTION("guards against work for nobody: a caller that leaves is noticed before the answer")
    {
        bool abandoned = false;
        fixture.m_waiting[0]->onAbandoned([&] { abandoned = true; });
        caller.close();
        CHECK(fixture.runUntil([&] { return abandoned; }));
        fixture.m_waiting[0]->respond({ 200, {}, "late" });
        CHECK(fixture.m_server.counters().m_abandoned == 1);
    }
    SECTION("guards against a cut answer: a request under way is answered after the port is closed")
    {
        fixture.m_server.stopAccepting();
        fixture.m_waiting[0]->respond({ 200, {}, "whole" });
        const std::string answer = fixture.readAll(caller);
        CHECK(answer.find("Connection: close") != std::string::npos);
    }
}

TEST_CASE("the HTTP server refuses what is not a request", "[http]")
{
    ServerFixture fixture;
    Tcp::socket caller = fixture.connect();

    SECTION("malformed bytes get 400")
    {
        fixture.send(caller, "not http at all\r\n\r\n");
        CHECK(fixture.readAll(caller).find("HTTP/1.1 400") == 0);
    }
    SECTION("a body beyond the limit gets 413")
    {
        CallerLimits limits;
        limits.m_bodyBytes = 10;
        fixture.m_server.setLimits(limits);
        Tcp::socket other = fixture.connect();
        fixture.send(other, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n");
        CHECK(fixture.readAll(other).find("HTTP/1.1 413") == 0);
    }
    CHECK(fixture.m_waiting.empty());
}
