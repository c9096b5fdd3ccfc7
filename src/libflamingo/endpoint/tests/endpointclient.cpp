#include "endpoint/tests/endpointbench.h"

using namespace flamingo;
using namespace flamingo::test;
using namespace std::chrono_literals;

namespace {

Reaction answer(const HttpRequest& request) { return { echo(request, "[]"), false, 0ms }; }

} // namespace

SCENARIO("a call is answered over a kept connection")
{
    Bench bench;
    TestServer server(bench.m_context, answer);
    bench.m_port = server.port();
    bench.share(4);
    bench.start(bench.call());
    bench.awaitReplies(1);

    // Guards against an owner that cannot tell whose answer it got.
    THEN("the request carries its metadata and the reply echoes it")
    {
        const HttpRequest& request = server.m_requests.at(0);
        CHECK(request.method_string() == "POST");
        CHECK(request.target() == "/shard/query");
        CHECK(request["X-Flamingo-Request"] == "r1");
        CHECK(request["X-Flamingo-Kind"] == "query");
        CHECK(std::stoi(std::string(request["X-Flamingo-Deadline-Ms"])) <= 5000);
        CHECK(std::stoi(std::string(request["X-Flamingo-Deadline-Ms"])) > 0);
        CHECK(request.body() == R"({"q":"rose"})");
        const EndpointReply& reply = bench.m_replies[0];
        CHECK(reply.m_outcome == CallOutcome::Answered);
        CHECK(reply.m_status == 200);
        CHECK(reply.m_request == RequestId("r1"));
        CHECK(reply.m_attempt == AttemptNumber(2));
        CHECK(reply.m_snapshot == SnapshotVersion(7));
        CHECK(reply.m_layout == LayoutId(3));
        CHECK(reply.m_shard == ShardIndex(11));
        CHECK(reply.m_body == "[]");
    }

    // Guards against a new connection, about 6 ms, for each call.
    WHEN("further calls follow one after another")
    {
        for (std::size_t i = 2; i <= 5; ++i) {
            bench.start(bench.call());
            bench.awaitReplies(i);
        }
        THEN("they share the connection")
        {
            CHECK(server.m_accepted == 1);
            CHECK(bench.m_client.counters().m_connectionsOpened == 1);
        }
    }

    // Guards against a closed connection that stays in the pool and costs a call each time.
    WHEN("the server closes the idle connection")
    {
        server.closeAll();
        bench.runUntil([&] { return bench.m_client.connections(bench.m_endpoint).m_open == 0; });
        bench.start(bench.call());
        bench.awaitReplies(2);
        THEN("the next call uses a new one")
        {
            CHECK(bench.m_replies[1].m_outcome == CallOutcome::Answered);
            CHECK(server.m_accepted == 2);
        }
    }

    // Guards against a resend by the client itself: the first byte may have left before the close showed.
    WHEN("the server closes the idle connection at the moment of the next call")
    {
        server.closeAll();
        bench.start(bench.call());
        bench.awaitReplies(2);
        THEN("the call is lost or provably went over a new connection, and was seen at most once")
        {
            if (bench.m_replies[1].m_outcome == CallOutcome::Answered) {
                CHECK(server.m_accepted == 2);
                CHECK(server.m_requests.size() == 2);
            } else {
                CHECK(bench.m_replies[1].m_outcome == CallOutcome::ConnectionLost);
                CHECK(server.m_requests.size() == 1);
            }
        }
    }

    // Guards against connections to an endpoint that is gone.
    WHEN("the endpoint is forgotten while a call is in flight")
    {
        bench.start(bench.call());
        bench.m_client.forget(bench.m_endpoint);
        bench.awaitReplies(2);
        bench.runUntil([&] { return bench.m_client.counters().m_connectionsOpen == 0; });
        THEN("the call finishes and the connection is closed")
        {
            CHECK(bench.m_replies[1].m_outcome == CallOutcome::Answered);
            bench.runUntil([&] { return server.m_open == 0; });
        }
    }

    // Guards against requests to the former address of an endpoint that moved.
    WHEN("the endpoint moves to another port")
    {
        TestServer moved(bench.m_context, answer);
        bench.m_port = moved.port();
        bench.start(bench.call());
        bench.awaitReplies(2);
        THEN("the call goes there and the old connection is closed")
        {
            CHECK(moved.m_requests.size() == 1);
            bench.runUntil([&] { return server.m_open == 0; });
        }
    }
}

SCENARIO("the connection share is never exceeded")
{
    Bench bench;
    TestServer server(bench.m_context, [](const HttpRequest& request) {
        return Reaction { echo(request, "[]"), false, 5ms };
    });
    bench.m_port = server.port();
    bench.share(3);

    // Guards against the peak that makes an endpoint refuse other VMs.
    WHEN("many calls of all kinds start at once and some are cancelled")
    {
        std::vector<CallHandle> handles;
        for (int i = 0; i < 60; ++i) {
            EndpointCall call = bench.call("r" + std::to_string(i));
            call.m_freshConnection = i % 7 == 3;
            call.m_provenConnection = i % 5 == 1;
            handles.push_back(bench.start(call));
        }
        bench.awaitReplies(10);
        for (std::size_t i = 0; i < handles.size(); i += 6)
            bench.m_client.cancel(handles[i]);
        bench.awaitReplies(60);
        THEN("the server has seen three connections at most and each call ended once")
        {
            CHECK(server.m_peak <= 3);
            bench.runFor(50ms);
            CHECK(bench.m_replies.size() == 60);
            CHECK(bench.m_client.counters().m_callsInFlight == 0);
            for (const EndpointReply& reply : bench.m_replies) {
                if (reply.m_outcome == CallOutcome::Answered)
                    CHECK(reply.m_body == "[]");
            }
        }
    }

    // Guards against overtaking, which starves the oldest call.
    WHEN("calls queue for one connection")
    {
        bench.share(1);
        for (int i = 0; i < 5; ++i)
            bench.start(bench.call("r" + std::to_string(i)));
        bench.awaitReplies(5);
        THEN("they are served in order")
        {
            for (std::size_t i = 0; i < 5; ++i)
                CHECK(bench.m_replies[i].m_request == RequestId("r" + std::to_string(i)));
        }
    }

    // Guards against a queued call that is reported as if it might have run.
    WHEN("the share is used up until a queued call's deadline")
    {
        bench.share(0);
        bench.start(bench.call("late", 20ms));
        const CallHandle cancelled = bench.start(bench.call("cancelled"));
        bench.m_client.cancel(cancelled);
        bench.m_client.cancel(cancelled);
        bench.awaitReplies(2);
        THEN("it was not sent, and neither was the cancelled one")
        {
            CHECK(bench.m_replies[0].m_outcome == CallOutcome::NotSent);
            CHECK(bench.m_replies[1].m_outcome == CallOutcome::NotSent);
            CHECK(server.m_accepted == 0);
        }
    }

    // Guards against the cost of connecting on the path of a query.
    WHEN("connections are opened ahead of need")
    {
        bench.m_client.warm(bench.m_endpoint, "127.0.0.1", bench.m_port, 5);
        bench.m_client.warm(bench.m_endpoint, "127.0.0.1", bench.m_port, 5);
        bench.runUntil([&] { return bench.m_client.connections(bench.m_endpoint).m_idle == 3; });
        THEN("calls use them, and a smaller share closes the surplus")
        {
            bench.start(bench.call());
            bench.awaitReplies(1);
            CHECK(server.m_accepted == 3);
            bench.share(1);
            bench.runUntil([&] { return server.m_open == 1; });
            CHECK(bench.m_client.connections(bench.m_endpoint).m_idle == 1);
        }
    }
}

SCENARIO("a fresh connection carries one call alone")
{
    Bench bench;
    bool closesWithoutAnswer = false;
    TestServer server(bench.m_context, [&](const HttpRequest& request) {
        return closesWithoutAnswer ? Reaction { "", true, 0ms } : Reaction { echo(request, "{}"), false, 0ms };
    });
    bench.m_port = server.port();
    bench.share(1);
    bench.start(bench.call("ordinary"));
    bench.awaitReplies(1);

    // Guards against an order that is sent over a connection that may already be dead.
    WHEN("a call asks for one while an idle connection uses up the share")
    {
        EndpointCall order = bench.call("order");
        order.m_freshConnection = true;
        bench.start(order);
        bench.start(bench.call("after"));
        bench.awaitReplies(3);
        THEN("it has its own connection, which nobody uses afterwards, within the share")
        {
            CHECK(server.m_connectionOfRequest == std::vector<std::size_t> { 0, 1, 2 });
            CHECK(server.m_peak == 1);
        }
    }

    // Guards against the second execution of an order by a client that resends a POST.
    WHEN("the server reads the POST whole and closes without an answer")
    {
        closesWithoutAnswer = true;
        EndpointCall order = bench.call("order");
        order.m_freshConnection = true;
        bench.start(order);
        bench.awaitReplies(2);
        bench.runFor(200ms);
        THEN("the call is lost and the server has seen it exactly once")
        {
            CHECK(bench.m_replies.size() == 2);
            CHECK(bench.m_replies[1].m_outcome == CallOutcome::ConnectionLost);
            CHECK(server.m_requests.size() == 2);
        }
    }
}

SCENARIO("a connection that owes an answer is not used again")
{
    Bench bench;
    bool silent = true;
    TestServer server(bench.m_context, [&](const HttpRequest& request) {
        return silent ? Reaction {} : Reaction { echo(request, "[]"), false, 0ms };
    });
    bench.m_port = server.port();
    bench.share(3);
    bench.m_client.warm(bench.m_endpoint, "127.0.0.1", bench.m_port, 3);
    bench.runUntil([&] { return bench.m_client.connections(bench.m_endpoint).m_idle == 3; });

    // Guards against losing a call on each connection of a set that went silent together.
    WHEN("a call on one of three silent connections reaches its deadline")
    {
        bench.start(bench.call("first", 50ms));
        bench.awaitReplies(1);
        silent = false;
        bench.start(bench.call("second"));
        bench.awaitReplies(2);
        THEN("the next call uses a new connection, and the unproven ones are closed")
        {
            CHECK(bench.m_replies[0].m_outcome == CallOutcome::TimedOut);
            CHECK(bench.m_replies[1].m_outcome == CallOutcome::Answered);
            CHECK(bench.m_replies[1].m_request == RequestId("second"));
            CHECK(server.m_connectionOfRequest.at(1) == 3);
            CHECK(bench.m_client.counters().m_connectionsRetired == 3);
        }
    }

    // Guards against calls that wait for a new connection after each hedge has closed one.
    WHEN("a call is cancelled and the share has room")
    {
        bench.share(6);
        const CallHandle handle = bench.start(bench.call());
        bench.runUntil([&] { return server.m_connectionOfRequest.size() == 1; });
        bench.m_client.cancel(handle);
        THEN("another connection is opened before a call needs it")
        {
            bench.runUntil([&] { return bench.m_client.connections(bench.m_endpoint).m_idle == 3; });
            bench.runUntil([&] { return server.m_accepted == 4; });
            CHECK(bench.m_client.connections(bench.m_endpoint).m_idle == 3);
        }
    }

    // Guards against the answer to a cancelled call that is taken for the next call's answer.
    WHEN("a call is cancelled after it was sent")
    {
        const CallHandle handle = bench.start(bench.call("first"));
        bench.runUntil([&] { return server.m_requests.size() == 1; });
        bench.m_client.cancel(handle);
        silent = false;
        bench.start(bench.call("second"));
        bench.awaitReplies(2);
        THEN("its connection is closed and the next call uses another")
        {
            CHECK(bench.m_replies[0].m_outcome == CallOutcome::Cancelled);
            CHECK(bench.m_replies[1].m_request == RequestId("second"));
            CHECK(server.m_connectionOfRequest.at(0) != server.m_connectionOfRequest.at(1));
            bench.runUntil([&] { return server.m_open == 2; });
        }
    }

    // Guards against a hedge over a connection as silent as that of the first attempt.
    WHEN("a hedge starts while all idle connections are older than a second")
    {
        silent = false;
        bench.runFor(1100ms);
        EndpointCall hedge = bench.call("hedge");
        hedge.m_provenConnection = true;
        bench.start(hedge);
        bench.awaitReplies(1);
        THEN("one of them makes room for a new connection")
        {
            CHECK(bench.m_replies[0].m_outcome == CallOutcome::Answered);
            CHECK(server.m_connectionOfRequest.at(0) == 3);
            CHECK(server.m_peak <= 3);
        }
    }
}

SCENARIO("an endpoint cannot be reached")
{
    Bench bench;
    bench.share(2);

    // Guards against an unsent order whose outcome is reported as unknown.
    WHEN("it refuses the connection")
    {
        {
            TestServer gone(bench.m_context, answer);
            bench.m_port = gone.port();
        }
        for (int i = 0; i < 4; ++i) {
            EndpointCall call = bench.call();
            call.m_freshConnection = i == 0;
            bench.start(call);
        }
        bench.awaitReplies(4);
        THEN("no byte was sent")
        {
            for (const EndpointReply& reply : bench.m_replies)
                CHECK(reply.m_outcome == CallOutcome::NotSent);
            CHECK(bench.m_client.counters().m_connectionsFailed == 4);
        }
    }

    // Guards against a call that waits for the kernel's connect timeout of minutes.
    WHEN("it does not answer to the attempt to connect")
    {
        boost::asio::ip::tcp::acceptor full(bench.m_context);
        full.open(boost::asio::ip::tcp::v4());
        full.bind({ boost::asio::ip::make_address("127.0.0.1"), 0 });
        full.listen(0);
        bench.m_port = full.local_endpoint().port();
        boost::asio::ip::tcp::socket filler(bench.m_context);
        filler.connect(full.local_endpoint());
        EndpointLimits limits;
        limits.m_connections = 2;
        limits.m_connectTimeout = 50ms;
        bench.m_client.setLimits(bench.m_endpoint, limits);
        bench.start(bench.call());
        EndpointCall fresh = bench.call();
        fresh.m_freshConnection = true;
        bench.start(fresh);
        bench.awaitReplies(2);
        THEN("the calls end as not sent at the connect timeout")
        {
            CHECK(bench.m_replies[0].m_outcome == CallOutcome::NotSent);
            CHECK(bench.m_replies[1].m_outcome == CallOutcome::NotSent);
        }
    }

    // Guards against a process that ends on a bad address in a registration.
    WHEN("its address is no IP address")
    {
        EndpointCall call = bench.call();
        call.m_address = "no-such-address";
        bench.start(call);
        bench.awaitReplies(1);
        THEN("no byte was sent") { CHECK(bench.m_replies[0].m_outcome == CallOutcome::NotSent); }
    }
}

SCENARIO("calls to an endpoint without limits of its own")
{
    EndpointClientSettings settings;
    settings.m_defaultLimits.m_connections = 2;
    Bench bench(snapshotProtocol(), settings);
    TestServer server(bench.m_context, [](const HttpRequest& request) {
        return Reaction { echo(request, "[]"), false, request["X-Flamingo-Request"] == "slow" ? 300ms : 0ms };
    });
    bench.m_port = server.port();

    // Guards against one call that stalls and holds up all others to the same merging VM.
    WHEN("one of them stalls")
    {
        bench.start(bench.call("slow"));
        bench.start(bench.call("r1"));
        bench.awaitReplies(1);
        THEN("others use the connections that the default allows")
        {
            CHECK(bench.m_replies[0].m_request == RequestId("r1"));
        }
    }
}

SCENARIO("connections of a client go silent together")
{
    EndpointClientSettings settings;
    settings.m_defaultLimits.m_connections = 2;
    settings.m_sharesSilence = true;
    Bench bench(snapshotProtocol(), settings);
    bool silent = false;
    TestServer server(
        bench.m_context, [&](const HttpRequest& request) { return silent ? Reaction {} : answer(request); });
    bench.m_port = server.port();
    EndpointCall other = bench.call();
    other.m_endpoint = EndpointId("e2");
    bench.start(bench.call());
    bench.start(other);
    bench.awaitReplies(2);
    REQUIRE(server.m_accepted == 2);

    // Guards against requests that fail one after another, each on a silent connection to another VM.
    WHEN("a call is not answered by the time given, long before its deadline")
    {
        silent = true;
        EndpointCall call = bench.call();
        call.m_answerBy = monotonicNow() + 50ms;
        bench.start(call);
        bench.awaitReplies(3);
        CHECK(bench.m_replies[2].m_outcome == CallOutcome::TimedOut);
        silent = false;
        bench.start(other);
        bench.awaitReplies(4);
        THEN("calls to other endpoints use new connections") { CHECK(server.m_accepted == 3); }
    }
}

// Guards against use of a destroyed client, since daemons stop with calls in flight.
TEST_CASE("A client may be destroyed by a handler and with calls in flight")
{
    boost::asio::io_context context;
    TestServer server(context, answer);
    auto client = std::make_unique<EndpointClient>(context);
    Bench sample;
    sample.m_port = server.port();
    int replies = 0;
    EndpointLimits limits;
    limits.m_connections = 2;
    client->setLimits(sample.m_endpoint, limits);
    for (int i = 0; i < 3; ++i) {
        client->start(sample.call("r", 10ms + i * 1ms), [&](const EndpointReply&) {
            ++replies;
            client.reset();
        });
    }
    context.run_for(100ms);
    CHECK(replies == 1);
}
