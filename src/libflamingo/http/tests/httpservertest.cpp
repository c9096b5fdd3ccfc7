#include "http/httpserver.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/streambuf.hpp>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

#include <stdexcept>
#include <thread>

using namespace flamingo;
using Tcp = boost::asio::ip::tcp;

namespace {

/** A server on a free port, whose requests the test answers. */
struct ServerFixture {
    ServerFixture()
        : m_server(m_io, [this](std::shared_ptr<HttpExchange> exchange) { m_exchanges.push_back(std::move(exchange)); })
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
        Tcp::socket socket(m_callerIo);
        socket.connect({ boost::asio::ip::make_address("127.0.0.1"), m_port });
        return socket;
    }

    void send(Tcp::socket& socket, const std::string& text) { boost::asio::write(socket, boost::asio::buffer(text)); }

    /** Runs the server until the condition holds. Returns false if it does not hold after 500 runs of 10 ms. */
    template <typename Condition> bool runUntil(const Condition& condition)
    {
        for (int attempt = 0; attempt < 500 && !condition(); ++attempt)
            m_io.run_for(std::chrono::milliseconds(10));
        return condition();
    }

    /** Runs the server and reads until the end of a header or of the connection. */
    std::string readAnswer(Tcp::socket& socket)
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
    boost::asio::io_context m_callerIo;
    std::vector<std::shared_ptr<HttpExchange>> m_exchanges;
    HttpServer m_server;
    std::uint16_t m_port = 0;
    bool m_started = false;
};

const char request[] = "GET /a/1?x=y HTTP/1.1\r\nHost: h\r\nX-Other: kept\r\nConnection: keep-alive\r\n\r\n";

} // namespace

TEST_CASE("the HTTP server passes requests to the handler and writes its answers", "[http]")
{
    ServerFixture fixture;
    Tcp::socket caller = fixture.connect();
    fixture.send(caller, request);
    REQUIRE(fixture.runUntil([&] { return fixture.m_exchanges.size() == 1; }));
    HttpRequest& received = fixture.m_exchanges[0]->request();
    CHECK(received.m_method == "GET");
    CHECK(received.m_target == "/a/1?x=y");
    CHECK(findField(received.m_fields, "x-other") == "kept");
    CHECK(findField(received.m_fields, "Connection").empty());
    CHECK(received.m_newConnection);

    SECTION("a persistent connection carries the next request")
    {
        fixture.m_exchanges[0]->respond({ 200, {}, "first" });
        CHECK(fixture.readAnswer(caller).find("HTTP/1.1 200 OK") == 0);
        fixture.send(caller, request);
        REQUIRE(fixture.runUntil([&] { return fixture.m_exchanges.size() == 2; }));
        CHECK_FALSE(fixture.m_exchanges[1]->request().m_newConnection);
    }
    SECTION("a caller that disconnects before the answer is noticed, so that no work is done for it in vain")
    {
        bool abandoned = false;
        fixture.m_exchanges[0]->onAbandoned([&] { abandoned = true; });
        caller.close();
        CHECK(fixture.runUntil([&] { return abandoned; }));
        fixture.m_exchanges[0]->respond({ 200, {}, "late" });
        CHECK(fixture.m_server.counters().m_abandoned == 1);
    }
    SECTION("a request in flight is answered after the port is closed, not cut off")
    {
        fixture.m_server.stopAccepting();
        fixture.m_exchanges[0]->respond({ 200, {}, "whole" });
        const std::string answer = fixture.readAnswer(caller);
        CHECK(answer.find("Connection: close") != std::string::npos);
    }
}

// Guards against a planned stop that cuts off requests which have just arrived.
TEST_CASE("the HTTP server answers what has arrived before its port was closed", "[http]")
{
    ServerFixture fixture;
    const auto answerAll = [&](std::size_t count) {
        REQUIRE(fixture.runUntil([&] { return fixture.m_exchanges.size() == count; }));
        for (const auto& exchange : fixture.m_exchanges)
            exchange->respond({ 200, {}, "whole" });
    };

    SECTION("a request on a kept connection that is not yet read")
    {
        Tcp::socket caller = fixture.connect();
        fixture.send(caller, request);
        answerAll(1);
        CHECK(fixture.readAnswer(caller).find("HTTP/1.1 200 OK") == 0);
        fixture.m_io.run_for(std::chrono::milliseconds(20));
        fixture.send(caller, request);
        fixture.m_server.stopAccepting();
        answerAll(2);
        CHECK(fixture.readAnswer(caller).find("Connection: close") != std::string::npos);
    }
    SECTION("a request on a connection that is not yet accepted")
    {
        Tcp::socket caller = fixture.connect();
        fixture.send(caller, request);
        fixture.m_server.stopAccepting();
        answerAll(1);
        CHECK(fixture.readAnswer(caller).find("HTTP/1.1 200 OK") == 0);
    }
    SECTION("a request that follows the opening of the connection by a moment")
    {
        Tcp::socket caller = fixture.connect();
        fixture.m_server.stopAccepting();
        fixture.m_io.run_for(std::chrono::milliseconds(20));
        fixture.send(caller, request);
        answerAll(1);
        CHECK(fixture.readAnswer(caller).find("HTTP/1.1 200 OK") == 0);
    }
    SECTION("a request whose body is still arriving")
    {
        Tcp::socket caller = fixture.connect();
        fixture.send(caller, "POST /a/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab");
        REQUIRE(fixture.runUntil([&] { return fixture.m_server.counters().m_connectionsOpen == 1; }));
        fixture.m_io.run_for(std::chrono::milliseconds(20));
        fixture.m_server.stopAccepting();
        CHECK(fixture.m_server.counters().m_connectionsOpen == 1);
        fixture.send(caller, "cd");
        answerAll(1);
        CHECK(fixture.m_exchanges[0]->request().m_body == "abcd");
        CHECK(fixture.readAnswer(caller).find("HTTP/1.1 200 OK") == 0);
    }
    SECTION("an answer larger than the socket's buffer, which counts as open until it is sent")
    {
        constexpr std::size_t answerBytes = 32 << 20;
        Tcp::socket caller = fixture.connect();
        fixture.send(caller, request);
        REQUIRE(fixture.runUntil([&] { return fixture.m_exchanges.size() == 1; }));
        fixture.m_server.stopAccepting();
        fixture.m_exchanges[0]->respond({ 200, {}, std::string(answerBytes, 'x') });
        fixture.m_io.run_for(std::chrono::milliseconds(20));
        CHECK(fixture.m_server.counters().m_connectionsOpen == 1);
    }
    SECTION("and closes a connection on which nothing arrives")
    {
        Tcp::socket unused = fixture.connect();
        fixture.m_server.stopAccepting();
        CHECK(fixture.runUntil([&] { return fixture.m_server.counters().m_connectionsOpen == 0; }));
    }
}

// Guards against a process that ends because one request hits a defect.
TEST_CASE("an exception in the handler of the HTTP server costs one request", "[http]")
{
    boost::asio::io_context io;
    int requests = 0;
    HttpServer server(io, [&](const std::shared_ptr<HttpExchange>& exchange) {
        if (++requests == 1)
            throw std::length_error("text too long");
        exchange->respond({ 200, {}, "fine" });
    });
    ServerFixture fixture; // provides free ports and the caller's side
    Reason reason;
    std::uint16_t port = 18100;
    while (!server.start({ "127.0.0.1", port }, reason) && port < 18200)
        ++port;
    fixture.m_port = port;
    const auto exchange = [&](Tcp::socket& caller) {
        fixture.send(caller, request);
        std::string text;
        caller.non_blocking(true);
        for (int attempt = 0; attempt < 500 && text.find("\r\n\r\n") == std::string::npos; ++attempt) {
            io.run_for(std::chrono::milliseconds(10));
            char bytes[4096];
            boost::system::error_code error;
            text.append(bytes, caller.read_some(boost::asio::buffer(bytes), error));
        }
        return text;
    };
    Tcp::socket caller = fixture.connect();
    CHECK(exchange(caller).find("HTTP/1.1 500") == 0);
    CHECK(exchange(caller).find("HTTP/1.1 200") == 0);
    CHECK(server.counters().m_failedRequests == 1);
}

TEST_CASE("the HTTP server refuses malformed and too large requests", "[http]")
{
    ServerFixture fixture;
    Tcp::socket caller = fixture.connect();

    SECTION("malformed bytes get 400")
    {
        fixture.send(caller, "not http at all\r\n\r\n");
        CHECK(fixture.readAnswer(caller).find("HTTP/1.1 400") == 0);
    }
    SECTION("a body above the limit gets 413")
    {
        CallerLimits limits;
        limits.m_bodyBytes = 10;
        fixture.m_server.setLimits(limits);
        Tcp::socket other = fixture.connect();
        fixture.send(other, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\n");
        CHECK(fixture.readAnswer(other).find("HTTP/1.1 413") == 0);
    }
    SECTION("the line before a chunk without end gets 431")
    {
        Tcp::socket other = fixture.connect();
        fixture.send(
            other, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1;" + std::string(200000, 'x'));
        CHECK(fixture.readAnswer(other).find("HTTP/1.1 431") == 0);
    }
    CHECK(fixture.m_exchanges.empty());
}
