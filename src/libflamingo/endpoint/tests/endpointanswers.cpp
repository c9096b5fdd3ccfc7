#include "endpoint/tests/endpointbench.h"

using namespace flamingo;
using namespace flamingo::test;
using namespace std::chrono_literals;

namespace {

/** The project's own protocol, but answers without a length end with their connection. */
const EndpointProtocol& protocolWithoutLengths()
{
    static const EndpointProtocol protocol { snapshotProtocol().m_isValid, snapshotProtocol().m_header,
        snapshotProtocol().m_readField, true };
    return protocol;
}

} // namespace

SCENARIO("answers that break the protocol")
{
    Bench bench;
    std::string bytes;
    bool closeAfter = false;
    TestServer server(bench.m_context, [&](const HttpRequest&) { return Reaction { bytes, closeAfter, 0ms }; });
    bench.m_port = server.port();
    bench.share(2);

    // Guards against broken answers that count, or that take the process down.
    WHEN("the answer is not valid HTTP, too large, without a length or cut short")
    {
        for (const std::string& text :
            { std::string("SMTP ready\r\n\r\n"), std::string("HTTP/1.1 200 OK\r\nContent-Length: 5000000\r\n\r\n"),
                std::string("HTTP/1.1 200 OK\r\n\r\n[]"),
                std::string("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n[]"),
                "HTTP/1.1 200 OK\r\nX-Padding: " + std::string(100000, 'x') }) {
            bytes = text;
            closeAfter = text.find("Content-Length: 10\r\n") != std::string::npos;
            const std::size_t before = bench.m_replies.size();
            bench.start(bench.call());
            bench.awaitReplies(before + 1);
            CAPTURE(text.substr(0, 60));
            CHECK(bench.m_replies.back().m_outcome == CallOutcome::ConnectionLost);
        }
    }

    // Guards against an answer without metadata that is taken for the call's own.
    WHEN("the echoed metadata is missing or no number")
    {
        bytes = "HTTP/1.1 200 OK\r\nX-Flamingo-Attempt: 2x\r\nX-Flamingo-Load: nan\r\nContent-Length: 2\r\n\r\n[]";
        bench.start(bench.call());
        bench.awaitReplies(1);
        THEN("it is left zero for the owner to reject")
        {
            CHECK(bench.m_replies[0].m_outcome == CallOutcome::Answered);
            CHECK(bench.m_replies[0].m_request == RequestId());
            CHECK(bench.m_replies[0].m_attempt == AttemptNumber());
            CHECK(bench.m_replies[0].m_load == 0.0);
        }
    }

    // Guards against valid answers that are lost because a server writes them in another way.
    WHEN("the answer is chunked, follows an interim answer and has header names in lower case")
    {
        bytes = "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nx-flamingo-request: r1\r\n"
                "transfer-encoding: chunked\r\n\r\n3\r\n[1,\r\n2\r\n2]\r\n0\r\n\r\n";
        bench.start(bench.call());
        bench.awaitReplies(1);
        bench.start(bench.call());
        bench.awaitReplies(2);
        THEN("it counts, and the connection is kept")
        {
            CHECK(bench.m_replies[0].m_status == 200);
            CHECK(bench.m_replies[0].m_request == RequestId("r1"));
            CHECK(bench.m_replies[0].m_body == "[1,2]");
            CHECK(server.m_accepted == 1);
        }
    }

    // Guards against a shed answer whose retry time is lost or absurd.
    WHEN("the endpoint sheds the request")
    {
        bytes = "HTTP/1.1 503 Busy\r\nX-Flamingo-Not-Run: 1\r\nRetry-After-Ms: 4000000000\r\nX-Flamingo-Load: 7.5\r\n"
                "Content-Length: 0\r\n\r\n";
        bench.start(bench.call());
        bench.awaitReplies(1);
        THEN("the reply says so, with bounded figures")
        {
            CHECK(bench.m_replies[0].m_status == 503);
            CHECK(bench.m_replies[0].m_notRun);
            CHECK(bench.m_replies[0].m_retryAfter == 60000ms);
            CHECK(bench.m_replies[0].m_load == 1.0);
        }
    }

    // Guards against header lines that a caller puts in through its request id.
    WHEN("the request id holds a line break")
    {
        bench.start(bench.call("r1\r\nX-Flamingo-Shard: 5"));
        bench.awaitReplies(1);
        THEN("nothing is sent")
        {
            CHECK(bench.m_replies[0].m_outcome == CallOutcome::NotSent);
            CHECK(server.m_accepted == 0);
        }
    }

    // Guards against bytes of a surplus answer that the next call on the connection reads.
    WHEN("two answers come for one request")
    {
        bytes = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n[]";
        bytes += bytes;
        bench.start(bench.call());
        bench.awaitReplies(1);
        bench.start(bench.call());
        bench.awaitReplies(2);
        THEN("the connection is not used again") { CHECK(server.m_accepted == 2); }
    }
}

SCENARIO("an endpoint answers without a length")
{
    Bench bench(protocolWithoutLengths());
    bool reset = false;
    TestServer server(bench.m_context, [&](const HttpRequest&) {
        return Reaction { "HTTP/1.1 200 OK\r\nX-Flamingo-Request: r1\r\n\r\n[1,2]", true, 0ms, reset };
    });
    bench.m_port = server.port();
    bench.share(2);

    // Guards against whole answers that are dropped and asked for again.
    WHEN("the connection ends in order after it")
    {
        bench.start(bench.call());
        bench.awaitReplies(1);
        THEN("the answer is whole")
        {
            CHECK(bench.m_replies[0].m_outcome == CallOutcome::Answered);
            CHECK(bench.m_replies[0].m_body == "[1,2]");
        }
        AND_THEN("the next call uses another connection")
        {
            bench.start(bench.call());
            bench.awaitReplies(2);
            CHECK(bench.m_replies[1].m_outcome == CallOutcome::Answered);
            CHECK(server.m_accepted == 2);
        }
    }

    // Guards against a part of an answer that passes for the whole.
    WHEN("the connection is reset after it")
    {
        reset = true;
        bench.start(bench.call());
        bench.awaitReplies(1);
        THEN("the answer is lost") { CHECK(bench.m_replies[0].m_outcome == CallOutcome::ConnectionLost); }
    }
}

SCENARIO("an answer to another request comes first")
{
    Bench bench;
    std::string stray = "HTTP/1.1 200 OK\r\nX-Flamingo-Request: r0\r\nContent-Length: 3\r\n\r\n[0]";
    TestServer server(bench.m_context, [&](const HttpRequest& request) {
        return Reaction { stray + echo(request, "[]"), false, 0ms };
    });
    bench.m_port = server.port();
    bench.share(2);

    // Guards against a call that fails although its own answer follows the late one of an earlier request.
    WHEN("the call's own answer follows")
    {
        bench.start(bench.call());
        bench.awaitReplies(1);
        THEN("the call gets its own answer")
        {
            CHECK(bench.m_replies[0].m_outcome == CallOutcome::Answered);
            CHECK(bench.m_replies[0].m_request == RequestId("r1"));
            CHECK(bench.m_replies[0].m_body == "[]");
        }
        AND_THEN("the connection is not used again")
        {
            stray.clear();
            bench.start(bench.call());
            bench.awaitReplies(2);
            CHECK(server.m_accepted == 2);
        }
    }
}
