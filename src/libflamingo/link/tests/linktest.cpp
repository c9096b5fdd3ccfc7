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
    limits.m_silenceTimeout = 20s; // a busy machine must not look like a silent peer
    return limits;
}

LinkLimits limitsWithSilence(std::chrono::milliseconds silence)
{
    LinkLimits limits = shortLimits();
    limits.m_silenceTimeout = silence;
    return limits;
}

// Server and client on loops of their own, driven by the test so that either can be held still.
struct Daemons {
    explicit Daemons(LinkLimits limits = shortLimits())
        : Daemons(limits, limits)
    {
    }
    Daemons(LinkLimits limits, LinkLimits serverLimits)
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
    // Without work, poll() would stop the loop for good.
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

// A raw socket of a peer that does not follow the protocol.
struct RawPeer {
    explicit RawPeer(const Daemons& daemons)
        : m_socket(m_io)
    {
        m_socket.connect({ boost::asio::ip::make_address(serverAddress), daemons.m_server.port() });
        m_socket.non_blocking(true);
    }
    void write(const std::string& bytes)
    {
        boost::system::error_code ignored;
        m_socket.write_some(boost::asio::buffer(bytes), ignored);
    }
    /** Returns true once the other side has closed; keeps what was read. */
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
    void upgrade(Daemons& daemons, const std::string& path = "/entry")
    {
        write("GET " + path
            + " HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
              "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n\r\n");
        daemons.runUntil([&] { return isClosed() || m_received.find("\r\n\r\n") != std::string::npos; });
    }
    boost::asio::io_context m_io;
    tcp::socket m_socket;
    std::string m_received;
};

} // namespace

TEST_CASE("daemons exchange messages over links")
{
    Daemons daemons;
    REQUIRE(daemons.open(daemons.address(), peerLinkPath));
    CHECK(daemons.m_paths == std::vector<std::string> { "/peer" });
    CHECK(daemons.m_client.state() == LinkState::Open);

    SECTION("messages come back unchanged and in order, including empty and binary ones")
    {
        const std::vector<std::string> sent { "first", "", std::string("\0\xff\x80", 3), "last" };
        for (const auto& message : sent)
            REQUIRE(daemons.m_client.send(message));
        REQUIRE(daemons.runUntil([&] { return daemons.m_clientMessages.size() == sent.size(); }));
        CHECK(daemons.m_clientMessages == sent);
    }
    SECTION("a message of the maximum size passes, and a larger one is refused without harm to the link")
    {
        std::string large(daemons.m_limits.m_maxMessageBytes, 'x');
        large[12345] = 'y';
        REQUIRE(daemons.m_client.send(large));
        REQUIRE(daemons.runUntil([&] { return daemons.m_clientMessages.size() == 1; }));
        CHECK(daemons.m_clientMessages[0] == large);
        CHECK_FALSE(daemons.m_client.send(large + "z"));
        CHECK(daemons.m_client.lastReason().m_code == ResultCode::BodyTooLarge);
        CHECK(daemons.m_client.state() == LinkState::Open);
    }
    SECTION("a close by either side is reported once on both, after the queued messages")
    {
        REQUIRE(daemons.m_client.send("goodbye"));
        daemons.m_client.close("test is over");
        CHECK(daemons.m_client.state() == LinkState::Closed);
        REQUIRE(daemons.runUntil([&] { return daemons.m_serverClosed.size() == 1; }));
        CHECK(daemons.m_serverMessages == std::vector<std::string> { "goodbye" });
        CHECK(daemons.m_serverClosed[0].m_text == "closed by the peer: test is over");
        CHECK(daemons.m_clientClosed.size() == 1);
        CHECK(daemons.m_clientMessages.empty());

        SECTION("and the client can connect again")
        {
            REQUIRE(daemons.open(daemons.address()));
            REQUIRE(daemons.m_client.send("again"));
            CHECK(daemons.runUntil([&] { return daemons.m_clientMessages.size() == 1; }));
        }
    }
    SECTION("a stopped server closes its links, and a restarted one is reached again")
    {
        daemons.m_server.stop();
        REQUIRE(daemons.runUntil([&] { return daemons.m_clientClosed.size() == 1; }));
        CHECK(daemons.m_serverClosed.empty());
        REQUIRE(daemons.m_client.connect(daemons.address(), entryLinkPath));
        REQUIRE(daemons.runUntil([&] { return daemons.m_clientClosed.size() == 2; }));
        CHECK(daemons.m_clientClosed[1].m_code == ResultCode::ControlUnavailable);

        int opened = 0;
        LinkServer second(daemons.m_serverLoop, serverAddress, daemons.m_server.port(),
            { [&](LinkId, const std::string&, const std::string&) { ++opened; }, nullptr, nullptr });
        Reason reason;
        REQUIRE(second.start(reason));
        REQUIRE(daemons.m_client.connect(daemons.address(), entryLinkPath));
        CHECK(daemons.runUntil([&] { return opened == 1; }));
    }
}

TEST_CASE("a link notices a peer that no longer answers")
{
    Daemons daemons(limitsWithSilence(1s));

    SECTION("an idle link stays open, since pings count as signs of life")
    {
        REQUIRE(daemons.open(daemons.address()));
        CHECK_FALSE(daemons.runUntil([&] { return !daemons.m_clientClosed.empty(); }, true, 2500ms));
        CHECK(daemons.m_serverClosed.empty());
    }
    SECTION("a path that goes silent without closing ends the link on both sides")
    {
        test::FaultRelay relay("127.0.10.2", 0, serverAddress, daemons.m_server.port());
        const std::string viaRelay = "127.0.10.2:" + std::to_string(relay.port());
        REQUIRE(daemons.open(viaRelay));
        relay.silenceOpenConnections();
        REQUIRE(daemons.runUntil([&] { return !daemons.m_clientClosed.empty() && !daemons.m_serverClosed.empty(); }));
        CHECK(daemons.m_clientClosed[0].m_text == "peer was silent for 1000 ms");

        SECTION("while a new connection over the same path works")
        {
            REQUIRE(daemons.open(viaRelay));
            REQUIRE(daemons.m_client.send("new"));
            CHECK(daemons.runUntil([&] { return daemons.m_clientMessages.size() == 1; }));
        }
    }
    SECTION("a path that accepts connections and carries nothing ends the handshake")
    {
        test::FaultRelay relay("127.0.10.2", 0, serverAddress, daemons.m_server.port());
        relay.setSilent(true);
        REQUIRE(daemons.m_client.connect("127.0.10.2:" + std::to_string(relay.port()), entryLinkPath));
        REQUIRE(daemons.runUntil([&] { return !daemons.m_clientClosed.empty(); }));
        CHECK(daemons.m_clientOpened == 0);
    }
    SECTION("a frozen peer that no longer reads cannot take the sender's memory")
    {
        LinkLimits limits = shortLimits();
        limits.m_maxQueuedBytes = 16u << 20;
        Daemons frozen(limits);
        REQUIRE(frozen.open(frozen.address()));
        const std::string block(1u << 20, 'x');
        int accepted = 0;
        while (frozen.m_client.send(block) && accepted < 1000) {
            ++accepted;
            frozen.m_clientLoop.poll();
        }
        CHECK(accepted < 100);
        CHECK(frozen.m_client.lastReason().m_code == ResultCode::Overloaded);
        CHECK(frozen.m_client.state() == LinkState::Closed);
        REQUIRE(frozen.runUntil([&] { return frozen.m_clientClosed.size() == 1; }, false));
        CHECK(frozen.runUntil([&] { return frozen.m_serverClosed.size() == 1; }));
    }
    SECTION("a message that takes longer than the silence timeout to arrive is not silence")
    {
        RawPeer slow(daemons);
        slow.upgrade(daemons);
        slow.write(std::string("\x82\x8a\0\0\0\0", 6));
        for (int byte = 0; byte < 10; ++byte) {
            daemons.runUntil([] { return false; }, true, 200ms);
            slow.write("x");
        }
        REQUIRE(daemons.runUntil([&] { return !daemons.m_serverMessages.empty() || slow.isClosed(); }));
        CHECK(daemons.m_serverMessages == std::vector<std::string> { "xxxxxxxxxx" });
    }
    SECTION("a loop that was blocked does not take its own pause for silence of the peer")
    {
        Daemons blocked(limitsWithSilence(500ms), shortLimits());
        REQUIRE(blocked.open(blocked.address()));
        // The server pings from a thread of its own while the client's loop stands still.
        std::atomic<bool> stop { false };
        std::thread server([&] {
            while (!stop) {
                blocked.m_serverLoop.poll();
                std::this_thread::sleep_for(1ms);
            }
        });
        for (int pause = 0; pause < 3; ++pause) {
            std::this_thread::sleep_for(700ms);
            blocked.m_clientLoop.poll();
        }
        stop = true;
        server.join();
        CHECK(blocked.m_clientClosed.empty());
    }
}

TEST_CASE("a server closes connections that break the protocol and keeps serving")
{
    Daemons daemons(limitsWithSilence(1s));
    RawPeer peer(daemons);

    SECTION("random bytes instead of a handshake")
    {
        std::mt19937 random(20261204);
        for (int round = 0; round < 50; ++round) {
            RawPeer garbage(daemons);
            std::string bytes(1 + random() % 3000, ' ');
            for (char& byte : bytes)
                byte = static_cast<char>(random());
            garbage.write(bytes + (round % 2 == 0 ? "\r\n\r\n" : ""));
            REQUIRE(daemons.runUntil([&] { return garbage.isClosed(); }));
        }
    }
    SECTION("a handshake that stops half way")
    {
        peer.write("GET /entry HTTP/1.1\r\nHost: x\r\nUpgr");
        CHECK(daemons.runUntil([&] { return peer.isClosed(); }));
    }
    SECTION("a connection that sends nothing at all")
    {
        CHECK(daemons.runUntil([&] { return peer.isClosed(); }));
    }
    SECTION("a plain HTTP request with a large body")
    {
        peer.write("POST /entry HTTP/1.1\r\nHost: x\r\nContent-Length: 10000000\r\n\r\n");
        CHECK(daemons.runUntil([&] { return peer.isClosed(); }));
    }
    SECTION("an unknown path")
    {
        peer.upgrade(daemons, "/other");
        CHECK(peer.m_received.find("404") != std::string::npos);
        CHECK(daemons.runUntil([&] { return peer.isClosed(); }));
        CHECK(daemons.m_paths.empty());
    }
    SECTION("a text frame")
    {
        peer.upgrade(daemons);
        peer.write(std::string("\x81\x82\0\0\0\0hi", 8));
        CHECK(daemons.runUntil([&] { return daemons.m_serverClosed.size() == 1; }));
        CHECK(daemons.m_serverClosed[0].m_code == ResultCode::UnsupportedProtocol);
        CHECK(daemons.runUntil([&] { return peer.isClosed(); }));
        CHECK(daemons.m_serverMessages.empty());
    }
    SECTION("a frame that claims to be larger than the limit, before its bytes arrive")
    {
        peer.upgrade(daemons);
        peer.write(std::string("\x82\xff\0\0\0\x01\0\0\0\0\0\0\0\0", 14));
        CHECK(daemons.runUntil([&] { return daemons.m_serverClosed.size() == 1; }));
        CHECK(daemons.runUntil([&] { return peer.isClosed(); }));
    }
    SECTION("random bytes after the handshake")
    {
        std::mt19937 random(20261205);
        for (int round = 0; round < 50; ++round) {
            RawPeer garbage(daemons);
            garbage.upgrade(daemons);
            std::string bytes(64, ' ');
            for (char& byte : bytes)
                byte = static_cast<char>(random());
            garbage.write(bytes);
            // Some random headers announce a frame that never ends; silence closes those.
            REQUIRE(daemons.runUntil([&] { return garbage.isClosed(); }));
        }
    }

    REQUIRE(daemons.open(daemons.address()));
    REQUIRE(daemons.m_client.send("still here"));
    CHECK(daemons.runUntil([&] { return daemons.m_clientMessages.size() == 1; }));
}

TEST_CASE("a client reports why it could not connect")
{
    Daemons daemons;
    for (const char* address : { "", "localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:80x",
             "::1:80", "[127.0.0.1]:80" }) {
        INFO(address);
        CHECK_FALSE(daemons.m_client.connect(address, entryLinkPath));
        CHECK(daemons.m_client.lastReason().m_code == ResultCode::InvalidField);
    }
    REQUIRE(daemons.m_client.connect("127.0.10.9:1", entryLinkPath));
    CHECK(daemons.m_client.state() == LinkState::Connecting);
    CHECK_FALSE(daemons.m_client.connect("127.0.10.9:1", entryLinkPath));
    REQUIRE(daemons.runUntil([&] { return daemons.m_clientClosed.size() == 1; }));
    CHECK(daemons.m_clientClosed[0].m_code == ResultCode::ControlUnavailable);

    // Guards against VMs that find a restarted control VM only with the system's second opening packet, a second
    // later.
    SECTION("a listener that drops opening packets is given up well within a second")
    {
        boost::asio::io_context io;
        tcp::acceptor full(io, tcp::endpoint(boost::asio::ip::make_address(serverAddress), 0));
        full.listen(0);
        std::vector<std::unique_ptr<tcp::socket>> waiting; // connections that fill the queue of the listener
        for (int i = 0; i < 4; ++i) {
            waiting.push_back(std::make_unique<tcp::socket>(io));
            waiting.back()->async_connect(full.local_endpoint(), [](const boost::system::error_code&) {});
        }
        io.poll();
        std::vector<Reason> closed;
        LinkClient client(daemons.m_clientLoop,
            LinkClientCallbacks { nullptr, nullptr, [&](const Reason& reason) { closed.push_back(reason); } });
        REQUIRE(client.connect(
            std::string(serverAddress) + ":" + std::to_string(full.local_endpoint().port()), entryLinkPath));
        REQUIRE(daemons.runUntil([&] { return !closed.empty(); }, true, 700ms));
        CHECK(closed[0].m_code == ResultCode::ControlUnavailable);
    }

    SECTION("a client destroyed while connecting reports nothing and leaves no handler behind")
    {
        int events = 0;
        auto client = std::make_unique<LinkClient>(
            daemons.m_clientLoop, LinkClientCallbacks { [&] { ++events; }, nullptr, [&](const Reason&) { ++events; } });
        REQUIRE(client->connect(daemons.address(), entryLinkPath));
        client.reset();
        CHECK_FALSE(daemons.runUntil([&] { return events > 0; }, true, 200ms));
    }
}

TEST_CASE("a server bounds its links, counting handshakes")
{
    LinkLimits limits = shortLimits();
    limits.m_maxLinks = 2;
    limits.m_handshakeTimeout = 2s;
    Daemons daemons(limits);
    RawPeer handshake(daemons);
    REQUIRE(daemons.open(daemons.address()));
    RawPeer beyond(daemons);
    CHECK(daemons.runUntil([&] { return beyond.isClosed(); }));
    CHECK_FALSE(handshake.isClosed()); // so it was the bound and not the handshake's timeout
    CHECK(daemons.m_client.state() == LinkState::Open);
    // The unfinished handshake ends in time and makes room.
    CHECK(daemons.runUntil([&] { return handshake.isClosed(); }));
    RawPeer next(daemons);
    next.upgrade(daemons);
    CHECK(daemons.m_server.linkCount() == 2);
}

TEST_CASE("a server that cannot listen says why")
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
