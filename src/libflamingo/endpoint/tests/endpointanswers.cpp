#include "endpoint/tests/endpointclientfixture.h"

using namespace flamingo;
using namespace flamingo::test;
using namespace std::chrono_literals;

namespace {

/** Returns the snapshot protocol, except that a response without a length ends when its connection closes. */
const EndpointProtocol& protocolWithoutLengths()
{
    static const EndpointProtocol protocol { snapshotProtocol().m_isValid, snapshotProtocol().m_formatHeader,
        snapshotProtocol().m_readField, true };
    return protocol;
}

} // namespace

SCENARIO("an endpoint sends unusual or invalid answers")
{
    EndpointClientFixture fixture;
    std::string bytes;
    bool closeAfter = false;
    TestServer server(fixture.m_context, [&](const HttpRequest&) { return Reaction { bytes, closeAfter, 0ms }; });
    fixture.m_port = server.port();
    fixture.setMaxConnections(2);

    // Guards against invalid answers that are accepted or crash the process.
    WHEN("the answer is not valid HTTP, too large, without a length or cut short")
    {
        for (const std::string& text :
            { std::string("SMTP ready\r\n\r\n"), std::string("HTTP/1.1 200 OK\r\nContent-Length: 5000000\r\n\r\n"),
                std::string("HTTP/1.1 200 OK\r\n\r\n[]"),
                std::string("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n[]"),
                "HTTP/1.1 200 OK\r\nX-Padding: " + std::string(100000, 'x') }) {
            bytes = text;
            closeAfter = text.find("Content-Length: 10\r\n") != std::string::npos;
            const std::size_t before = fixture.m_replies.size();
            fixture.start(fixture.call());
            fixture.awaitReplies(before + 1);
            CAPTURE(text.substr(0, 60));
            CHECK(fixture.m_replies.back().m_outcome == CallOutcome::ConnectionLost);
        }
    }

    // Guards against a status that no server may send being given to the caller, or read as an interim answer, after
    // which the call waits in vain on a connection that is out of step.
    WHEN("the status line is malformed or holds a status that no server may send")
    {
        for (const char* line : { "HTTP/1.1 000 Odd", "HTTP/1.1 099 Odd", "HTTP/1.1 101 Switching Protocols",
                 "HTTP/1.1 600 Odd", "HTTP/1.1 999 Odd", "HTTP/1.1 1000 Odd", "HTTP/1.1 20 Odd", "HTTP/1.1 abc Odd",
                 "HTTP/1.1 -20 Odd", "HTTP/1.1", "HTTP/1.1  200 OK", "HTTP/3.1 200 OK", "HTTP 200 OK" }) {
            bytes = std::string(line) + "\r\nX-Flamingo-Request: r1\r\nContent-Length: 2\r\n\r\n[]";
            const std::size_t before = fixture.m_replies.size();
            fixture.start(fixture.call("r1", 1000ms));
            fixture.awaitReplies(before + 1);
            CAPTURE(line);
            CHECK(fixture.m_replies.back().m_outcome == CallOutcome::ConnectionLost);
        }
        THEN("each connection is closed, since it may be out of step") { CHECK(server.m_accepted == 13); }
    }

    // Guards against an end of the answer that depends on which of two lengths is believed.
    WHEN("the answer names two different lengths")
    {
        bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\n[]";
        fixture.start(fixture.call("r1", 1000ms));
        fixture.awaitReplies(1);
        THEN("it is no answer") { CHECK(fixture.m_replies[0].m_outcome == CallOutcome::ConnectionLost); }
    }

    // Guards against accepting an answer without metadata as the answer to the call.
    WHEN("the echoed metadata is missing or not a number")
    {
        bytes = "HTTP/1.1 200 OK\r\nX-Flamingo-Attempt: 2x\r\nX-Flamingo-Load: nan\r\nContent-Length: 2\r\n\r\n[]";
        fixture.start(fixture.call());
        fixture.awaitReplies(1);
        THEN("the reply holds zero values, which the owner rejects")
        {
            CHECK(fixture.m_replies[0].m_outcome == CallOutcome::Answered);
            CHECK(fixture.m_replies[0].m_request == RequestId());
            CHECK(fixture.m_replies[0].m_attempt == AttemptNumber());
            CHECK(fixture.m_replies[0].m_load == 0.0);
        }
    }

    // Guards against rejecting valid answers that use less common features of HTTP.
    WHEN("the answer is chunked, follows an interim answer and has header names in lower case")
    {
        bytes = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nx-flamingo-request: r1\r\n"
                "transfer-encoding: chunked\r\n\r\n3\r\n[1,\r\n2\r\n2]\r\n0\r\n\r\n";
        fixture.start(fixture.call());
        fixture.awaitReplies(1);
        fixture.start(fixture.call());
        fixture.awaitReplies(2);
        THEN("the answer is accepted and the connection is kept")
        {
            CHECK(fixture.m_replies[0].m_status == 200);
            CHECK(fixture.m_replies[0].m_request == RequestId("r1"));
            CHECK(fixture.m_replies[0].m_body == "[1,2]");
            CHECK(server.m_accepted == 1);
        }
    }

    // Guards against a refusal whose retry delay is lost or far too long.
    WHEN("the endpoint sheds the request")
    {
        bytes = "HTTP/1.1 503 Busy\r\nX-Flamingo-Not-Run: 1\r\nRetry-After-Ms: 4000000000\r\nX-Flamingo-Load: 7.5\r\n"
                "Content-Length: 0\r\n\r\n";
        fixture.start(fixture.call());
        fixture.awaitReplies(1);
        THEN("the reply is marked as not run, with retry delay and load within their limits")
        {
            CHECK(fixture.m_replies[0].m_status == 503);
            CHECK(fixture.m_replies[0].m_notRun);
            CHECK(fixture.m_replies[0].m_retryAfter == 60000ms);
            CHECK(fixture.m_replies[0].m_load == 1.0);
        }
    }

    // Guards against header injection through the request id.
    WHEN("the request id holds a line break")
    {
        fixture.start(fixture.call("r1\r\nX-Flamingo-Shard: 5"));
        fixture.awaitReplies(1);
        THEN("the call is not sent")
        {
            CHECK(fixture.m_replies[0].m_outcome == CallOutcome::NotSent);
            CHECK(server.m_accepted == 0);
        }
    }

    // Guards against a duplicate answer that is read as the answer to the next call on the connection.
    WHEN("two answers come for one request")
    {
        bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]";
        bytes += bytes;
        fixture.start(fixture.call());
        fixture.awaitReplies(1);
        fixture.start(fixture.call());
        fixture.awaitReplies(2);
        THEN("the connection is not used again") { CHECK(server.m_accepted == 2); }
    }
}

SCENARIO("an endpoint sends an answer without a length")
{
    EndpointClientFixture fixture(protocolWithoutLengths());
    bool reset = false;
    TestServer server(fixture.m_context, [&](const HttpRequest&) {
        return Reaction { "HTTP/1.1 200 OK\r\nX-Flamingo-Request: r1\r\n\r\n[1,2]", true, 0ms, reset };
    });
    fixture.m_port = server.port();
    fixture.setMaxConnections(2);

    // Guards against dropping complete answers and requesting them again.
    WHEN("the connection is closed normally after the answer")
    {
        fixture.start(fixture.call());
        fixture.awaitReplies(1);
        THEN("the answer is complete")
        {
            CHECK(fixture.m_replies[0].m_outcome == CallOutcome::Answered);
            CHECK(fixture.m_replies[0].m_body == "[1,2]");
        }
        AND_THEN("the next call uses another connection")
        {
            fixture.start(fixture.call());
            fixture.awaitReplies(2);
            CHECK(fixture.m_replies[1].m_outcome == CallOutcome::Answered);
            CHECK(server.m_accepted == 2);
        }
    }

    // Guards against accepting a truncated answer as complete.
    WHEN("the connection is reset after the answer")
    {
        reset = true;
        fixture.start(fixture.call());
        fixture.awaitReplies(1);
        THEN("the call is lost") { CHECK(fixture.m_replies[0].m_outcome == CallOutcome::ConnectionLost); }
    }
}

SCENARIO("an answer to another request arrives first")
{
    EndpointClientFixture fixture;
    std::string stray = "HTTP/1.1 200 OK\r\nX-Flamingo-Request: r0\r\nContent-Length: 3\r\n\r\n[0]";
    TestServer server(fixture.m_context, [&](const HttpRequest& request) {
        return Reaction { stray + echo(request, "[]"), false, 0ms };
    });
    fixture.m_port = server.port();
    fixture.setMaxConnections(2);

    // Guards against a call that fails although its own answer follows a late answer to an earlier request.
    WHEN("the call's own answer follows")
    {
        fixture.start(fixture.call());
        fixture.awaitReplies(1);
        THEN("the call gets its own answer")
        {
            CHECK(fixture.m_replies[0].m_outcome == CallOutcome::Answered);
            CHECK(fixture.m_replies[0].m_request == RequestId("r1"));
            CHECK(fixture.m_replies[0].m_body == "[]");
        }
        AND_THEN("the connection is not used again")
        {
            stray.clear();
            fixture.start(fixture.call());
            fixture.awaitReplies(2);
            CHECK(server.m_accepted == 2);
        }
    }
}

// Guards against an endpoint that holds a call until its deadline, or fills the memory, by sending bytes without end
// that never make up an answer.
SCENARIO("an endpoint sends without end")
{
    EndpointClientFixture fixture(protocolWithoutLengths());
    const std::string head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
    std::string start;
    std::string rest;
    SECTION("in the start line") { start = "HTTP/1.1 200 "; }
    SECTION("in a header") { start = "HTTP/1.1 200 OK\r\nX-Padding: "; }
    SECTION("in a train of interim answers") { rest = "HTTP/1.1 103 Early Hints\r\n\r\n"; }
    SECTION("in a chunk size") { start = head + "\r\n"; }
    SECTION("in the extensions of a chunk") { start = head + "\r\n3;x="; }
    SECTION("in chunks of one byte with extensions")
    {
        start = head + "\r\n";
        rest = "1;" + std::string(1000, 'x') + "\r\n0\r\n";
    }
    SECTION("in a trailer") { start = head + "\r\n0\r\nX-Padding: "; }
    SECTION("in a chunked body")
    {
        start = head + "\r\n";
        rest = "10\r\n0123456789abcdef\r\n";
    }
    SECTION("in a body without a length") { start = "HTTP/1.1 200 OK\r\n\r\n"; }
    constexpr std::size_t blockBytes = 65536;
    std::string block;
    while (block.size() < blockBytes)
        block += rest.empty() ? "0" : rest;

    namespace asio = boost::asio;
    asio::ip::tcp::acceptor acceptor(fixture.m_context, { asio::ip::make_address("127.0.0.1"), 0 });
    asio::ip::tcp::socket peer(fixture.m_context);
    std::uint64_t sent = 0;
    bool closed = false;
    std::function<void()> sendBlock = [&] {
        asio::async_write(peer, asio::buffer(block), [&](auto error, std::size_t bytes) {
            sent += bytes;
            closed = bool(error);
            if (!error)
                sendBlock();
        });
    };
    acceptor.async_accept(
        peer, [&](auto) { asio::async_write(peer, asio::buffer(start), [&](auto, std::size_t) { sendBlock(); }); });
    fixture.m_port = acceptor.local_endpoint().port();
    fixture.setMaxConnections(1);
    EndpointCall call = fixture.call("r1", 15000ms);
    const auto begin = monotonicNow();
    fixture.start(call);
    fixture.awaitReplies(1);
    fixture.runUntil([&] { return closed; });

    CHECK(fixture.m_replies[0].m_outcome == CallOutcome::ConnectionLost);
    CHECK(monotonicNow() - begin < 10s); // ended by a limit on bytes, not by the deadline
    constexpr std::uint64_t socketBufferBytes = 16ULL << 20U; // what the system may hold between the two ends
    CHECK(sent < (8ULL << 20U) + socketBufferBytes);
}

// Guards against memory that is not counted while an answer arrives, and against the memory of an answer that nobody
// waits for any more and that the endpoint goes on sending.
SCENARIO("the memory of an answer is counted while it arrives")
{
    EndpointClientFixture fixture(protocolWithoutLengths());
    namespace asio = boost::asio;
    asio::ip::tcp::acceptor acceptor(fixture.m_context, { asio::ip::make_address("127.0.0.1"), 0 });
    asio::ip::tcp::socket peer(fixture.m_context);
    acceptor.async_accept(peer, [](auto) {});
    fixture.m_port = acceptor.local_endpoint().port();
    fixture.setMaxConnections(1);
    ByteBudget budget(1U << 30U);
    EndpointCall call = fixture.call();
    call.m_held = std::make_shared<HeldBytes>(&budget);
    const CallHandle handle = fixture.start(call);
    fixture.runUntil([&] { return peer.is_open() && peer.available() > 0; });
    constexpr std::size_t sentBytes = 100000;
    asio::write(peer, asio::buffer("HTTP/1.1 200 OK\r\n\r\n" + std::string(sentBytes, 'x')));
    fixture.runUntil([&] { return budget.held() >= sentBytes; });

    WHEN("the call is cancelled while the endpoint sends on")
    {
        fixture.m_client.cancel(handle);
        THEN("the memory is free at once") { CHECK(budget.held() == 0); }
    }
    WHEN("the answer ends")
    {
        peer.shutdown(asio::ip::tcp::socket::shutdown_send);
        fixture.awaitReplies(1);
        THEN("the body counts for the request, and the buffer does not")
        {
            CHECK(fixture.m_replies[0].m_body.size() == sentBytes);
            CHECK(budget.held() >= sentBytes);
            CHECK(budget.held() == fixture.m_replies[0].m_body.capacity());
        }
    }
}

// Guards against a caller that gets the answer to somebody else's request.
SCENARIO("a second copy of an answer arrives late on a kept connection")
{
    EndpointClientFixture fixture;
    namespace asio = boost::asio;
    asio::ip::tcp::acceptor acceptor(fixture.m_context, { asio::ip::make_address("127.0.0.1"), 0 });
    std::vector<asio::ip::tcp::socket> peers;
    const auto accept = [&] {
        fixture.runUntil([&] {
            acceptor.non_blocking(true);
            boost::system::error_code error;
            asio::ip::tcp::socket peer(fixture.m_context);
            acceptor.accept(peer, error);
            if (!error)
                peers.push_back(std::move(peer));
            return !error;
        });
    };
    const auto answerTo = [](const std::string& request, const std::string& body) {
        const std::string name = request.empty() ? "" : "X-Flamingo-Request: " + request + "\r\n";
        return "HTTP/1.1 200 OK\r\n" + name + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    };
    const auto receive = [&](asio::ip::tcp::socket& peer) {
        fixture.runUntil([&] { return peer.available() > 0; });
        std::string text(peer.available(), '\0');
        peer.read_some(asio::buffer(text));
    };
    fixture.m_port = acceptor.local_endpoint().port();
    fixture.setMaxConnections(2);

    WHEN("the endpoint names no request, and the copy is there before the next call is sent")
    {
        fixture.start(fixture.call("r1"));
        accept();
        receive(peers[0]);
        asio::write(peers[0], asio::buffer(answerTo("", "[1]")));
        fixture.awaitReplies(1);
        asio::write(peers[0], asio::buffer(answerTo("", "[1]")));
        fixture.start(fixture.call("r2"));
        accept();
        receive(peers[1]);
        asio::write(peers[1], asio::buffer(answerTo("", "[2]")));
        fixture.awaitReplies(2);
        THEN("the next call uses another connection") { CHECK(fixture.m_replies[1].m_body == "[2]"); }
    }
    WHEN("the endpoint names the request, and the copy comes in pieces around the next call")
    {
        fixture.start(fixture.call("r1"));
        accept();
        receive(peers[0]);
        const std::string copy = answerTo("r1", "[1]");
        asio::write(peers[0], asio::buffer(copy));
        fixture.awaitReplies(1);
        fixture.start(fixture.call("r2"));
        receive(peers[0]);
        asio::write(peers[0], asio::buffer(copy.substr(0, 20)));
        fixture.runFor(20ms);
        asio::write(peers[0], asio::buffer(copy.substr(20) + answerTo("r2", "[2]")));
        fixture.awaitReplies(2);
        THEN("the next call skips it and gets its own answer")
        {
            CHECK(fixture.m_replies[1].m_request == RequestId("r2"));
            CHECK(fixture.m_replies[1].m_body == "[2]");
        }
    }
}

// Guards against an answer that breaks off, in its head too, and reaches the caller as a complete success.
TEST_CASE("an answer that breaks off at any byte is no answer", "[endpoint]")
{
    const bool closeEndsAnswer = GENERATE(false, true);
    const bool reset = GENERATE(false, true);
    CAPTURE(closeEndsAnswer, reset);
    EndpointClientFixture fixture(closeEndsAnswer ? protocolWithoutLengths() : snapshotProtocol());
    Reaction reaction;
    reaction.m_close = true;
    reaction.m_reset = reset;
    TestServer server(fixture.m_context, [&](const HttpRequest&) { return reaction; });
    fixture.m_port = server.port();
    const std::string head = "HTTP/1.1 200 OK\r\nX-Flamingo-Load: 0.5\r\n";
    std::string whole;
    std::size_t complete = 0; // bytes from which on the answer is complete
    SECTION("with a length")
    {
        whole = head + "Content-Length: 11\r\n\r\n{\"a\":\"bcd\"}";
        complete = whole.size();
    }
    SECTION("in chunks")
    {
        whole = head + "Transfer-Encoding: chunked\r\n\r\n6\r\n{\"a\":\"\r\n5\r\nbcd\"}\r\n0\r\n\r\n";
        complete = whole.size();
    }
    SECTION("without a length, where the close ends the body and a reset does not")
    {
        whole = head + "\r\n{\"a\"}";
        complete = closeEndsAnswer && !reset ? head.size() + 2 : whole.size() + 1;
    }
    for (std::size_t bytes = 0; bytes <= whole.size(); ++bytes) {
        reaction.m_bytes = whole.substr(0, bytes);
        fixture.start(fixture.call());
        fixture.awaitReplies(bytes + 1);
        const bool answered = fixture.m_replies.back().m_outcome == CallOutcome::Answered;
        CAPTURE(bytes);
        // A reset may arrive before the bytes that were sent ahead of it are read.
        if (bytes < complete || !reset)
            CHECK(answered == (bytes >= complete));
    }
}
