#include "process/tier.h"
#include "support/faultrelay.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <future>
#include <mutex>
#include <set>
#include <thread>

using namespace flamingo::test;
using namespace std::chrono_literals;

namespace {

using Clock = std::chrono::steady_clock;
constexpr int shards = 4;
constexpr std::uint16_t firstPort = 9000;

std::chrono::milliseconds elapsedSince(Clock::time_point start)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - start);
}

/** Returns the stub settings of a service with four shards, whose endpoints listen on consecutive ports. */
std::string stubServiceYaml(const Tier& tier, const std::string& prefix, int replicas, int address)
{
    return "{ name: verses, id_prefix: " + prefix + ", snapshots: [ { version: 7, shards: " + std::to_string(shards)
        + " } ], replicas: " + std::to_string(replicas) + ", address: " + tier.network() + "." + std::to_string(address)
        + ", port: " + std::to_string(firstPort) + ", connections: 60, slots: 4 }";
}

double coverage(const HttpReply& reply)
{
    const Json none = Json::object();
    return reply.m_body.is_object() ? reply.m_body.value("coverage", none).value("fraction", 0.0) : 0.0;
}

void createVerses(const Tier& tier, const std::string& options)
{
    tier.runUntilSuccess(
        2, "CREATE SERVICE verses WITH floor = 0.5, prefer = full, extra_load = 1, " + options, "create");
}

void waitForFullCoverage(const Tier& tier)
{
    for (int vm = 1; vm <= tier.vmCount(); ++vm)
        Tier::waitFor("full coverage", [&] { return coverage(tier.query(vm, "verses", "warm up")) == 1.0; });
}

} // namespace

// Guards against answers that stay incomplete after an endpoint is lost although every shard still has a working
// replica.
TEST_CASE("queries keep full coverage through the remaining replica")
{
    Tier tier(4);
    createVerses(tier, "deadline = 2 s, canary = off");

    SECTION("open connections to an endpoint go silent while new ones work")
    {
        tier.startStub(stubServiceYaml(tier, "a", 1, 100));
        tier.waitForEndpoints(4, "verses", shards);
        // The second replica of shard 0 announces the relay's address, which forwards to the first replica.
        FaultRelay relay(tier.network() + ".102", firstPort, tier.network() + ".100", firstPort);
        const Json announcement { { "action", "register" }, { "id", "relayed" }, { "incarnation", 1 },
            { "service", "verses" }, { "address", tier.network() + ".102" }, { "port", firstPort },
            { "data_centre", "dc1" }, { "slots", 4 }, { "connections", 60 },
            { "layouts", Json::array({ { { "snapshot", 7 }, { "layout", 1 }, { "weights", { 1, 1, 1, 1 } } } }) },
            { "holdings", Json::array({ { { "snapshot", 7 }, { "layout", 1 }, { "shard", 0 } } }) } };
        std::atomic<bool> stop { false };
        std::thread announcer([&] {
            while (!stop) {
                tier.post(4, "/v1/announce", announcement);
                for (int i = 0; i < 20 && !stop; ++i)
                    std::this_thread::sleep_for(100ms);
            }
        });
        tier.waitForEndpoints(1, "verses", shards + 1);
        waitForFullCoverage(tier);
        for (int i = 0; i < 200; ++i)
            tier.query(1, "verses", "before");
        CHECK(relay.acceptedCount() > 0);
        int incomplete = 0;
        for (int round = 0; round < 3; ++round) {
            relay.setSilent(round == 2);
            relay.silenceOpenConnections();
            for (int i = 0; i < 60; ++i)
                incomplete += coverage(tier.query(1, "verses", "silent")) < 1.0 ? 1 : 0;
        }
        stop = true;
        announcer.join();
        std::printf("silent connections: %d of 180 queries incomplete\n", incomplete);
        CHECK(incomplete == 0);
    }

    SECTION("an endpoint process is lost")
    {
        tier.startStub(stubServiceYaml(tier, "a", 1, 100));
        tier.startStub(stubServiceYaml(tier, "b", 1, 101));
        tier.waitForEndpoints(4, "verses", 2 * shards);
        waitForFullCoverage(tier);
        const auto start = Clock::now();
        tier.stub(0).kill();
        int incomplete = 0;
        auto lastIncomplete = 0ms;
        while (elapsedSince(start) < 3s) {
            if (coverage(tier.query(4, "verses", "after loss")) < 1.0) {
                ++incomplete;
                lastIncomplete = elapsedSince(start);
            }
        }
        std::printf("endpoint lost: %d incomplete answers, the last one after %lld ms\n", incomplete,
            (long long)lastIncomplete.count());
        CHECK(lastIncomplete < 2s); // the queries in flight retry until this deadline
    }
}

// Guards against a request that crashes its endpoints, is retried on other endpoints through several VMs and takes down
// more than two of them, and against a quarantine that also refuses other requests.
TEST_CASE("a crashing request sent through three VMs at once crashes at most two endpoints")
{
    Tier tier(3);
    createVerses(tier, "deadline = 2 s");
    tier.startStub(stubServiceYaml(tier, "a", 2, 100), "{ crash_marker: boom, crash_down_ms: 30000 }");
    tier.waitForEndpoints(3, "verses", 2 * shards);
    waitForFullCoverage(tier);

    std::vector<std::future<HttpReply>> crashing;
    std::vector<std::future<HttpReply>> innocent;
    for (int i = 0; i < 12; ++i) {
        const int vm = 1 + i % 3;
        crashing.push_back(std::async(std::launch::async, [&, vm] { return tier.query(vm, "verses", "boom"); }));
        innocent.push_back(std::async(
            std::launch::async, [&, vm, i] { return tier.query(vm, "verses", "innocent " + std::to_string(i)); }));
    }
    for (auto& reply : crashing)
        CHECK(reply.get().code() != 0);
    for (auto& reply : innocent)
        CHECK(reply.get().code() != 1004);
    // Callers resend. The quarantine is in force by now, or comes into force after the next crashes.
    for (int i = 0; i < 6; ++i)
        tier.query(1 + i % 3, "verses", "boom");
    Tier::waitFor("the quarantine on every VM", [&] {
        return tier.query(1, "verses", "boom").code() == 1004 && tier.query(2, "verses", "boom").code() == 1004
            && tier.query(3, "verses", "boom").code() == 1004;
    });
    int crashed = 0;
    const Json counters = tier.stubCounters(0);
    for (const auto& endpoint : counters.at("endpoints").items())
        crashed += endpoint.value().at("crashes").get<int>() > 0 ? 1 : 0;
    std::printf("crashing request: %d distinct endpoints crashed, %s crashes in all\n", crashed,
        counters.at("crashes").dump().c_str());
    CHECK(crashed <= 2);
    const Json quarantined = tier.rows(1, "SHOW QUARANTINE");
    CHECK(quarantined.size() == 1);
    for (int i = 0; i < 12; ++i)
        CHECK(tier.query(1 + i % 3, "verses", "innocent " + std::to_string(i)).code() != 1004);
}

// Guards against a shutdown that drops requests in flight or accepts new ones.
TEST_CASE("SIGTERM under load answers every request in flight")
{
    Tier tier(4);
    createVerses(tier, "deadline = 5 s, canary = off");
    tier.startStub(stubServiceYaml(tier, "a", 2, 100), "{ median_ms: 100, p99_ms: 200 }");
    tier.waitForEndpoints(4, "verses", 2 * shards);
    waitForFullCoverage(tier);

    std::atomic<bool> stop { false };
    std::atomic<int> answered { 0 };
    std::atomic<int> refused { 0 };
    std::atomic<int> unconnected { 0 };
    std::atomic<int> lost { 0 };
    std::atomic<int> wrong { 0 };
    std::vector<std::thread> callers;
    for (int i = 0; i < 8; ++i)
        callers.emplace_back([&] {
            while (!stop) {
                const HttpReply reply = tier.query(4, "verses", "load", 5000);
                if (!reply.m_connected)
                    ++unconnected;
                else if (reply.m_status == 0)
                    ++lost;
                else if (reply.code() == 0 && coverage(reply) == 1.0)
                    ++answered;
                else if (reply.code() >= 1000 && reply.code() < 2000)
                    ++refused;
                else
                    ++wrong;
                if (!reply.m_connected)
                    std::this_thread::sleep_for(5ms);
            }
        });
    std::this_thread::sleep_for(2s);
    const int before = answered;
    const auto start = Clock::now();
    tier.vm(4).signal(SIGTERM);
    CHECK(tier.vm(4).waitForExit(hangLimit));
    std::printf("SIGTERM under load: exited after %lld ms\n", (long long)elapsedSince(start).count());
    std::this_thread::sleep_for(200ms);
    stop = true;
    for (std::thread& caller : callers)
        caller.join();
    std::printf("answered %d + %d, refused %d, not connected %d, lost %d, other %d\n", before, answered - before,
        refused.load(), unconnected.load(), lost.load(), wrong.load());
    CHECK(tier.vm(4).waitStatus() == 0);
    CHECK(before > 0);
    CHECK(lost == 0);
    CHECK(wrong == 0);
}

// Guards against malformed input that crashes or blocks a daemon.
TEST_CASE("a daemon keeps serving after malformed input")
{
    Tier tier(3);
    createVerses(tier, "deadline = 2 s");
    tier.startStub(stubServiceYaml(tier, "a", 1, 100));
    tier.waitForEndpoints(3, "verses", shards);
    waitForFullCoverage(tier);

    using Tcp = boost::asio::ip::tcp;
    boost::asio::io_context io;
    std::vector<Tcp::socket> sockets; // kept open, like connections of peers that stay silent
    const auto sendRaw = [&](std::uint16_t port, const std::string& bytes) {
        Tcp::socket socket(io);
        socket.connect({ boost::asio::ip::make_address(tier.vmAddress(1)), port });
        boost::system::error_code ignored;
        boost::asio::write(socket, boost::asio::buffer(bytes), ignored);
        sockets.push_back(std::move(socket));
    };
    const std::string garbage(100000, '\xfe');
    const std::string upgrade = "GET /v1/peer HTTP/1.1\r\nHost: x\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
                                "Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
    for (const std::uint16_t port : { std::uint16_t(8400), std::uint16_t(8401) }) {
        sendRaw(port, "");
        sendRaw(port, garbage);
        sendRaw(port, "POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n{\"service\":");
        sendRaw(port, "GET / HTTP/1.1\r\nHost");
        for (const char* path : { "/peer", "/entry" }) {
            std::string request = upgrade;
            request.replace(4, 8, path);
            sendRaw(port, request + garbage);
            // A well-formed binary frame, masked with zeros, whose content is not CBOR.
            sendRaw(port, request + std::string("\x82\x84\0\0\0\0\xff\xfe\xfd\xfc", 10));
        }
    }
    for (const std::string path : { "/v1/query", "/v1/request", "/v1/announce", "/v1/statement" }) {
        for (const std::string& body : { std::string("{\"service\": \"ver"), std::string("{\"service\": \"\xc3\x28\"}"),
                 std::string("[[[["), std::string(), std::string(20000, '['), garbage }) {
            const HttpReply reply = httpCall(tier.vmAddress(1), 8400, "POST", path, body);
            INFO(path << " " << reply.m_body.dump(-1, ' ', true, Json::error_handler_t::replace));
            CHECK(reply.code() >= 4000);
        }
    }
    for (int round = 0; round < 3; ++round) {
        CHECK(tier.vm(1).isRunning());
        Tier::waitFor("the VM to be serving", [&] { return tier.isServing(1); });
        CHECK(coverage(tier.query(1, "verses", "after bad input")) == 1.0);
        CHECK(tier.statement(1, "ALTER SERVICE verses WITH slots = " + std::to_string(5 + round)).code() == 0);
        std::this_thread::sleep_for(500ms);
    }
}
