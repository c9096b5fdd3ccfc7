#include "link/linkclient.h"
#include "link/linkpath.h"
#include "link/linkserver.h"
#include "support/faultrelay.h"

#include <boost/asio.hpp>
#include <catch2/catch.hpp>

#include <chrono>
#include <functional>
#include <random>
#include <thread>

using namespace flamingo;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

constexpr char serverAddress[] = "127.0.10.1";

LinkLimits shortLimits()
{
    LinkLimits limits;
    limits.m_handshakeTimeout = 300ms;
    limits.m_closeTimeout = 200ms;
    limits.m_pingInterval = 100ms;
    limits.m_silenceTimeout = 20s; // long enough that a busy machine does not look like a silent peer
    return limits;
}

LinkLimits limitsWithSilence(std::chrono::milliseconds silence)
{
    LinkLimits limits = shortLimits();
    limits.m_silenceTimeout = silence;
    return limits;
}

// A server and a client, each with an io_context of its own. The test runs both and can pause either.
struct LinkFixture {
    explicit LinkFixture(LinkLimits limits = shortLimits())
        : LinkFixture(limits, limits)
    {
    }
    LinkFixture(LinkLimits limits, LinkLimits serverLimits)
        : m_limits(limits)
        , m_server(m_serverLoop, serverAddress, 0,
              { [this](LinkId id, const std::string&, const std::string& path) {
                   m_lastLink = id;
                   m_paths.push_back(path);
               },
                  [this](LinkId id, std::string message) {
                      m_serverMessages.push_back(message);
                      if (m_echo)
                          m_server.send(id, message);
                  },
                  [this](LinkId, const Reason& reason) { m_serverClosed.push_back(reason); } },
              serverLimits)
        , m_client(m_clientLoop,
              { [this] { ++m_clientOpened; },
                  [this](std::string message) { m_clientMessages.push_back(std::move(message)); },
                  [this](const Reason& reason) { m_clientClosed.push_back(reason); } },
              limits)
    {
        Reason reason;
        REQUIRE(m_server.start(reason));
    }

    bool runUntil(const std::function<bool()>& done, bool runServer = true, std::chrono::milliseconds limit = 20s)
    {
        const auto end = monotonicNow() + limit;
        while (!done()) {
            if (monotonicNow() > end)
                return false;
            std::size_t handled = m_clientLoop.poll();
            if (runServer)
                handled += m_serverLoop.poll();
            if (handled == 0)
                std::this_thread::sleep_for(500us);
        }
        return true;
    }

    std::string address() const { return std::string(serverAddress) + ":" + std::to_string(m_server.port()); }

    bool open(const std::string& target, const char* path = entryLinkPath)
    {
        const int before = m_clientOpened;
        return m_client.connect(target, path)
            && runUntil([&] { return m_clientOpened > before && m_server.linkCount() > 0; });
    }

    LinkLimits m_limits;
    boost::asio::io_context m_serverLoop;
    boost::asio::io_context m_clientLoop;
    // Without a work guard, poll() would stop the io_context when it runs out of work.
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_serverWork {
        m_serverLoop.get_executor()
    };
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_clientWork {
        m_clientLoop.get_executor()
    };
    bool m_echo = true;
    LinkId m_lastLink;
    std::vector<std::string> m_paths;
    std::vector<std::string> m_serverMessages;
    std::vector<Reason> m_serverClosed;
    int m_clientOpened = 0;
    std::vector<std::string> m_clientMessages;
    std::vector<Reason> m_clientClosed;
    LinkServer m_server;
    LinkClient m_client;
};

// A plain TCP connection to the server, for peers that violate the protocol.
struct RawPeer {
    explicit RawPeer(const LinkFixture& fixture)
        : m_socket(m_io)
    {
        m_socket.connect({ boost::asio::ip::make_address(serverAddress), fixture.m_server.port() });
        m_socket.non_blocking(true);
    }
    void write(const std::string& bytes)
    {
        boost::system::error_code ignored;
        m_socket.write_some(boost::asio::buffer(bytes), ignored);
    }
    /** Returns whether the server has closed the connection; appends received data to m_received. */
    bool isClosed()
    {
        char buffer[4096];
        boost::system::error_code error;
        for (;;) {
            const std::size_t count = m_socket.read_some(boost::asio::buffer(buffer), error);
            if (error)
                return error != boost::asio::error::would_block;
            m_received.append(buffer, count);
        }
    }
    void upgrade(LinkFixture& fixture, const std::string& path = "/entry")
    {
        write("GET " + path
            + " HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
              "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n");
        fixture.runUntil([&] { return isClosed() || m_received.find("\r\n\r\n") != std::string::npos; });
    }
    boost::asio::io_context m_io;
    tcp::socket m_socket;
    std::string m_received;
};

} // namespace

TEST_CASE("a client and a server exchange messages over a link")
{
    LinkFixture fixture;
    REQUIRE(fixture.open(fixture.address(), peerLinkPath));
    CHECK(fixture.m_paths == std::vector<std::string> { "/peer" });
    CHECK(fixture.m_client.state() == LinkState::Open);

    SECTION("echoed messages arrive unchanged and in order, including empty and binary ones")
    {
        const std::vector<std::string> sent { "first", "", std::string("\0\xff\x80", 3), "last" };
        for (const auto& message : sent)
            REQUIRE(fixture.m_client.send(message));
        REQUIRE(fixture.runUntil([&] { return fixture.m_clientMessages.size() == sent.size(); }));
        CHECK(fixture.m_clientMessages == sent);
    }
    SECTION("a message of the maximum size is delivered, and a larger one is refused while the link stays open")
    {
        std::string large(fixture.m_limits.m_maxMessageBytes, 'x');
        large[12345] = 'y';
        REQUIRE(fixture.m_client.send(large));
        REQUIRE(fixture.runUntil([&] { return fixture.m_clientMessages.size() == 1; }));
        CHECK(fixture.m_clientMessages[0] == large);
        CHECK_FALSE(fixture.m_client.send(large + "z"));
        CHECK(fixture.m_client.lastReason().m_code == ResultCode::BodyTooLarge);
        CHECK(fixture.m_client.state() == LinkState::Open);
    }
    SECTION("a close by the client is reported once on each side, after the queued messages")
    {
        REQUIRE(fixture.m_client.send("goodbye"));
        fixture.m_client.close("test is over");
        CHECK(fixture.m_client.state() == LinkState::Closed);
        REQUIRE(fixture.runUntil([&] { return fixture.m_serverClosed.size() == 1; }));
        CHECK(fixture.m_serverMessages == std::vector<std::string> { "goodbye" });
        CHECK(fixture.m_serverClosed[0].m_text == "closed by the peer: test is over");
        CHECK(fixture.m_clientClosed.size() == 1);
        CHECK(fixture.m_clientMessages.empty());

        SECTION("the client can connect again after the close")
        {
            REQUIRE(fixture.open(fixture.address()));
            REQUIRE(fixture.m_client.send("again"));
            CHECK(fixture.runUntil([&] { return fixture.m_clientMessages.size() == 1; }));
        }
    }
    SECTION("a stopped server closes its links, and the client can connect to a new server on the same port")
    {
        fixture.m_server.stop();
        REQUIRE(fixture.runUntil([&] { return fixture.m_clientClosed.size() == 1; }));
        CHECK(fixture.m_serverClosed.empty());
        REQUIRE(fixture.m_client.connect(fixture.address(), entryLinkPath));
        REQUIRE(fixture.runUntil([&] { return fixture.m_clientClosed.size() == 2; }));
        CHECK(fixture.m_clientClosed[1].m_code == ResultCode::ControlUnavailable);

        int opened = 0;
        LinkServer second(fixture.m_serverLoop, serverAddress, fixture.m_server.port(),
            { [&](LinkId, const std::string&, const std::string&) { ++opened; }, nullptr, nullptr });
        Reason reason;
        REQUIRE(second.start(reason));
        REQUIRE(fixture.m_client.connect(fixture.address(), entryLinkPath));
        CHECK(fixture.runUntil([&] { return opened == 1; }));
    }
}

TEST_CASE("a link detects a peer that no longer responds")
{
    LinkFixture fixture(limitsWithSilence(1s));

    SECTION("an idle link stays open because pings and pongs count as received data")
    {
        REQUIRE(fixture.open(fixture.address()));
        CHECK_FALSE(fixture.runUntil([&] { return !fixture.m_clientClosed.empty(); }, true, 2500ms));
        CHECK(fixture.m_serverClosed.empty());
    }
    SECTION("a network that silently drops all data ends the link on both sides")
    {
        test::FaultRelay relay("127.0.10.2", 0, serverAddress, fixture.m_server.port());
        const std::string viaRelay = "127.0.10.2:" + std::to_string(relay.port());
        REQUIRE(fixture.open(viaRelay));
        relay.silenceOpenConnections();
        REQUIRE(fixture.runUntil([&] { return !fixture.m_clientClosed.empty() && !fixture.m_serverClosed.empty(); }));
        CHECK(fixture.m_clientClosed[0].m_text == "peer was silent for 1000 ms");

        SECTION("a new connection through the same relay works")
        {
            REQUIRE(fixture.open(viaRelay));
            REQUIRE(fixture.m_client.send("new"));
            CHECK(fixture.runUntil([&] { return fixture.m_clientMessages.size() == 1; }));
        }
    }
    SECTION("a network that accepts connections but drops all data ends the handshake")
    {
        test::FaultRelay relay("127.0.10.2", 0, serverAddress, fixture.m_server.port());
        relay.setSilent(true);
        REQUIRE(fixture.m_client.connect("127.0.10.2:" + std::to_string(relay.port()), entryLinkPath));
        REQUIRE(fixture.runUntil([&] { return !fixture.m_clientClosed.empty(); }));
        CHECK(fixture.m_clientOpened == 0);
    }
    SECTION("a peer that no longer reads cannot exhaust the memory of the sender")
    {
        LinkLimits limits = shortLimits();
        limits.m_maxQueuedBytes = 16u << 20;
        LinkFixture stalledFixture(limits);
        REQUIRE(stalledFixture.open(stalledFixture.address()));
        const std::string block(1u << 20, 'x');
        int accepted = 0;
        while (stalledFixture.m_client.send(block) && accepted < 1000) {
            ++accepted;
            stalledFixture.m_clientLoop.poll();
        }
        CHECK(accepted < 100);
        CHECK(stalledFixture.m_client.lastReason().m_code == ResultCode::Overloaded);
        CHECK(stalledFixture.m_client.state() == LinkState::Closed);
        REQUIRE(stalledFixture.runUntil([&] { return stalledFixture.m_clientClosed.size() == 1; }, false));
        CHECK(stalledFixture.runUntil([&] { return stalledFixture.m_serverClosed.size() == 1; }));
    }
    SECTION("a message that takes longer than the silence timeout to arrive does not end the link")
    {
        RawPeer slow(fixture);
        slow.upgrade(fixture);
        slow.write(std::string("\x82\x8a\0\0\0\0", 6));
        for (int byte = 0; byte < 10; ++byte) {
            fixture.runUntil([] { return false; }, true, 200ms);
            slow.write("x");
        }
        REQUIRE(fixture.runUntil([&] { return !fixture.m_serverMessages.empty() || slow.isClosed(); }));
        CHECK(fixture.m_serverMessages == std::vector<std::string> { "xxxxxxxxxx" });
    }
    SECTION("a client whose own thread was blocked does not take the pause for silence of the peer")
    {
        LinkFixture blockedFixture(limitsWithSilence(500ms), shortLimits());
        REQUIRE(blockedFixture.open(blockedFixture.address()));
        // The server sends pings from another thread while the io_context of the client does not run.
        std::atomic<bool> stop { false };
        std::thread server([&] {
            while (!stop) {
                blockedFixture.m_serverLoop.poll();
                std::this_thread::sleep_for(1ms);
            }
        });
        for (int pause = 0; pause < 3; ++pause) {
            std::this_thread::sleep_for(700ms);
            blockedFixture.m_clientLoop.poll();
        }
        stop = true;
        server.join();
        CHECK(blockedFixture.m_clientClosed.empty());
    }
}

TEST_CASE("a server closes connections that violate the protocol and keeps accepting links")
{
    LinkFixture fixture(limitsWithSilence(1s));
    RawPeer peer(fixture);

    SECTION("random bytes instead of a handshake")
    {
        std::mt19937 random(20261204);
        for (int round = 0; round < 50; ++round) {
            RawPeer garbage(fixture);
            std::string bytes(1 + random() % 3000, ' ');
            for (char& byte : bytes)
                byte = static_cast<char>(random());
            garbage.write(bytes + (round % 2 == 0 ? "\r\n\r\n" : ""));
            REQUIRE(fixture.runUntil([&] { return garbage.isClosed(); }));
        }
    }
    SECTION("an incomplete handshake")
    {
        peer.write("GET /entry HTTP/1.1\r\nHost: x\r\nUpgr");
        CHECK(fixture.runUntil([&] { return peer.isClosed(); }));
    }
    SECTION("a connection that sends nothing at all")
    {
        CHECK(fixture.runUntil([&] { return peer.isClosed(); }));
    }
    SECTION("a plain HTTP request with a large body")
    {
        peer.write("POST /entry HTTP/1.1\r\nHost: x\r\nContent-Length: 10000000\r\n\r\n");
        CHECK(fixture.runUntil([&] { return peer.isClosed(); }));
    }
    SECTION("an unknown path")
    {
        peer.upgrade(fixture, "/other");
        CHECK(peer.m_received.find("404") != std::string::npos);
        CHECK(fixture.runUntil([&] { return peer.isClosed(); }));
        CHECK(fixture.m_paths.empty());
    }
    SECTION("a text frame")
    {
        peer.upgrade(fixture);
        peer.write(std::string("\x81\x82\0\0\0\0hi", 8));
        CHECK(fixture.runUntil([&] { return fixture.m_serverClosed.size() == 1; }));
        CHECK(fixture.m_serverClosed[0].m_code == ResultCode::UnsupportedProtocol);
        CHECK(fixture.runUntil([&] { return peer.isClosed(); }));
        CHECK(fixture.m_serverMessages.empty());
    }
    SECTION("a frame header that announces more than the limit, before the payload arrives")
    {
        peer.upgrade(fixture);
        peer.write(std::string("\x82\xff\0\0\0\x01\0\0\0\0\0\0\0\0", 14));
        CHECK(fixture.runUntil([&] { return fixture.m_serverClosed.size() == 1; }));
        CHECK(fixture.runUntil([&] { return peer.isClosed(); }));
    }
    SECTION("random bytes after the handshake")
    {
        std::mt19937 random(20261205);
        for (int round = 0; round < 50; ++round) {
            RawPeer garbage(fixture);
            garbage.upgrade(fixture);
            std::string bytes(64, ' ');
            for (char& byte : bytes)
                byte = static_cast<char>(random());
            garbage.write(bytes);
            // Some random headers announce a frame that is never completed; the silence timeout closes those
            // connections.
            REQUIRE(fixture.runUntil([&] { return garbage.isClosed(); }));
        }
    }

    REQUIRE(fixture.open(fixture.address()));
    REQUIRE(fixture.m_client.send("still here"));
    CHECK(fixture.runUntil([&] { return fixture.m_clientMessages.size() == 1; }));
}

TEST_CASE("a client reports why it could not connect")
{
    LinkFixture fixture;
    for (const char* address : { "", "localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:80x",
             "::1:80", "[127.0.0.1]:80" }) {
        INFO(address);
        CHECK_FALSE(fixture.m_client.connect(address, entryLinkPath));
        CHECK(fixture.m_client.lastReason().m_code == ResultCode::InvalidField);
    }
    REQUIRE(fixture.m_client.connect("127.0.10.9:1", entryLinkPath));
    CHECK(fixture.m_client.state() == LinkState::Connecting);
    CHECK_FALSE(fixture.m_client.connect("127.0.10.9:1", entryLinkPath));
    REQUIRE(fixture.runUntil([&] { return fixture.m_clientClosed.size() == 1; }));
    CHECK(fixture.m_clientClosed[0].m_code == ResultCode::ControlUnavailable);

    // Guards against VMs that reach a restarted control VM only when the kernel retransmits the TCP SYN, a second
    // later.
    SECTION("a connection attempt to a listener that drops SYN packets ends well within a second")
    {
        boost::asio::io_context io;
        tcp::acceptor full(io, tcp::endpoint(boost::asio::ip::make_address(serverAddress), 0));
        full.listen(0);
        std::vector<std::unique_ptr<tcp::socket>> waiting; // connections that fill the accept queue of the listener
        for (int i = 0; i < 4; ++i) {
            waiting.push_back(std::make_unique<tcp::socket>(io));
            waiting.back()->async_connect(full.local_endpoint(), [](const boost::system::error_code&) {});
        }
        io.poll();
        std::vector<Reason> closed;
        LinkClient client(fixture.m_clientLoop,
            LinkClientCallbacks { nullptr, nullptr, [&](const Reason& reason) { closed.push_back(reason); } });
        REQUIRE(client.connect(
            std::string(serverAddress) + ":" + std::to_string(full.local_endpoint().port()), entryLinkPath));
        REQUIRE(fixture.runUntil([&] { return !closed.empty(); }, true, 700ms));
        CHECK(closed[0].m_code == ResultCode::ControlUnavailable);
    }

    SECTION("a client destroyed while connecting calls no callback")
    {
        int events = 0;
        auto client = std::make_unique<LinkClient>(
            fixture.m_clientLoop, LinkClientCallbacks { [&] { ++events; }, nullptr, [&](const Reason&) { ++events; } });
        REQUIRE(client->connect(fixture.address(), entryLinkPath));
        client.reset();
        CHECK_FALSE(fixture.runUntil([&] { return events > 0; }, true, 200ms));
    }
}

TEST_CASE("a server limits its links, handshakes included")
{
    LinkLimits limits = shortLimits();
    limits.m_maxLinks = 2;
    limits.m_handshakeTimeout = 2s;
    LinkFixture fixture(limits);
    RawPeer handshake(fixture);
    REQUIRE(fixture.open(fixture.address()));
    RawPeer overLimit(fixture);
    CHECK(fixture.runUntil([&] { return overLimit.isClosed(); }));
    CHECK_FALSE(handshake.isClosed()); // the other connection was closed by the limit, not by the handshake timeout
    CHECK(fixture.m_client.state() == LinkState::Open);
    // The unfinished handshake times out and makes room for another link.
    CHECK(fixture.runUntil([&] { return handshake.isClosed(); }));
    RawPeer next(fixture);
    next.upgrade(fixture);
    CHECK(fixture.m_server.linkCount() == 2);
}

TEST_CASE("a server that cannot listen reports the reason")
{
    boost::asio::io_context io;
    Reason reason;
    CHECK_FALSE(LinkServer(io, "not an address", 0, {}).start(reason));
    CHECK(reason.m_code == ResultCode::InvalidSettings);
    LinkServer first(io, serverAddress, 0, {});
    REQUIRE(first.start(reason));
    CHECK_FALSE(LinkServer(io, serverAddress, first.port(), {}).start(reason));
    CHECK(reason.m_text.find("Address already in use") != std::string::npos);
}
