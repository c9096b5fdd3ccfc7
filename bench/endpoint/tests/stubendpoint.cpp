#include "endpoint/adminserver.h"
#include "endpoint/endpointclient.h"
#include "endpoint/hits.h"
#include "endpoint/scenario.h"
#include "endpoint/stubprocess.h"

#include <nlohmann/json.hpp>

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace flamingo;
using namespace flamingo::bench;
using namespace std::chrono_literals;
using Json = nlohmann::json;

namespace {

constexpr auto hangLimit = 20s;

/** Accepts announcements in place of a daemon and records them. */
struct FakeDaemon {
    explicit FakeDaemon(boost::asio::io_context& context)
        : m_server(context, "127.0.0.1", 0,
            [this](const std::string&, const std::string&, const std::string& body, unsigned& status) {
                m_announcements.push_back(Json::parse(body));
                status = m_status;
                return std::string("{}");
            })
    {
    }

    std::size_t count(const std::string& action) const
    {
        return static_cast<std::size_t>(std::count_if(m_announcements.begin(), m_announcements.end(),
            [&](const Json& json) { return json.at("action") == action; }));
    }

    unsigned m_status = 200;
    std::vector<Json> m_announcements;
    AdminServer m_server;
};

struct Fixture {
    Fixture()
    {
        std::string error;
        auto scenario = readScenario(R"(
daemons: ["127.0.0.1:)"
                + std::to_string(m_daemon.m_server.port()) + R"("]
faults: { median_ms: 1, p99_ms: 3, crash_down_ms: 50 }
services:
  - { name: verses, snapshots: [ { version: 7, weights: [ 2, 1 ] } ], replicas: 2, address: 127.0.0.1, port: 0,
      connections: 2, slots: 1, queue: 1, data_centres: [ a, b ] }
)",
            error);
        INFO(error);
        REQUIRE(scenario);
        m_stub.emplace(m_context, *scenario);
        EndpointLimits limits;
        limits.m_maxConnections = 8;
        m_client.setLimits(m_stub->endpoints()[0]->stub().m_record.m_id, limits);
    }

    template <typename Condition> void runUntil(Condition condition)
    {
        const auto end = monotonicNow() + hangLimit;
        while (!condition()) {
            REQUIRE(monotonicNow() < end);
            m_context.run_one_for(10ms);
        }
    }

    void start(const std::string& path, const std::string& body, std::uint32_t shard = 0)
    {
        const EndpointRecord& record = m_stub->endpoints()[0]->stub().m_record;
        EndpointCall call;
        call.m_endpoint = record.m_id;
        call.m_address = record.m_address;
        call.m_port = record.m_port;
        call.m_path = path;
        call.m_request = RequestId("r" + std::to_string(++m_calls));
        call.m_snapshot = SnapshotVersion(7);
        call.m_layout = LayoutId(1);
        call.m_shard = ShardIndex(shard);
        call.m_body = body;
        call.m_deadline = monotonicNow() + 5s;
        m_client.start(call, [this](EndpointReply reply) { m_replies.push_back(std::move(reply)); });
    }

    EndpointReply ask(const std::string& path, const std::string& body, std::uint32_t shard = 0)
    {
        const std::size_t before = m_replies.size();
        start(path, body, shard);
        runUntil([&] { return m_replies.size() > before; });
        return m_replies.back();
    }

    Json admin(const std::string& method, const std::string& target, const std::string& body = {})
    {
        unsigned status = 0;
        Json json = Json::parse(m_stub->handle(method, target, body, status));
        json["status"] = status;
        return json;
    }

    boost::asio::io_context m_context;
    FakeDaemon m_daemon { m_context };
    std::optional<StubProcess> m_stub;
    EndpointClient m_client { m_context };
    std::vector<EndpointReply> m_replies;
    int m_calls = 0;
};

} // namespace

// Guards against a stub that disagrees with shardHits(), the oracle of coverage tests, which would then pass for no
// reason.
TEST_CASE_METHOD(Fixture, "The stub answers queries for the shards that it holds")
{
    const EndpointReply reply = ask("/shard/query", "rose");
    CHECK(reply.m_status == 200);
    CHECK(reply.m_request == RequestId("r1"));
    CHECK(reply.m_body == shardHits(SnapshotVersion(7), ShardIndex(0), "rose", 5));
    CHECK(Json::parse(reply.m_body).size() == 5);
    CHECK(shardHits(SnapshotVersion(8), ShardIndex(0), "rose", 5) != reply.m_body);
    CHECK(ask("/shard/query", "rose", 1).m_notRun);
}

// Guards against a repeated execution that no counter shows.
TEST_CASE_METHOD(Fixture, "The stub counts executions by request id")
{
    CHECK(ask("/shard/request", "{}").m_status == 200);
    CHECK(m_stub->log().executions().at("r1") == 1);
    CHECK(admin("GET", "/stub/counters?requests=1").at("executions").at("r1") == 1);
    CHECK(admin("GET", "/stub/counters").at("repeated_executions") == 0);
}

// Guards against a stub that ignores its limits, which would hide that a daemon overloads its endpoints.
TEST_CASE_METHOD(Fixture, "The stub sheds calls beyond its slots and queue and refuses surplus connections")
{
    admin("POST", "/stub/faults", R"({"faults": {"median_ms": 200, "p99_ms": 200}})");
    for (int i = 0; i < 3; ++i)
        start("/shard/query", "x");
    runUntil([&] { return m_replies.size() == 3; });
    const Json counters = admin("GET", "/stub/counters");
    CHECK(counters.at("violations") == 1);
    CHECK(counters.at("connections_peak") == 2);

    EndpointLimits limits;
    limits.m_maxConnections = 2;
    m_client.setLimits(m_stub->endpoints()[0]->stub().m_record.m_id, limits);
    m_stub->endpoints()[0]->stub().m_queue = 0;
    start("/shard/query", "x");
    start("/shard/query", "x");
    runUntil([&] { return m_replies.size() == 5; });
    CHECK(std::count_if(m_replies.begin() + 3, m_replies.end(), [](const EndpointReply& reply) {
        return reply.m_status == 503 && reply.m_notRun && reply.m_retryAfter == 20ms;
    }) == 1);
}

// Guards against faults that are accepted but have no effect.
TEST_CASE_METHOD(Fixture, "Faults change the stub's behaviour at run time")
{
    CHECK(admin("POST", "/stub/faults", R"({"faults": {"no_such": 1}})").at("status") == 400);
    CHECK(admin("POST", "/stub/faults", "not json").at("status") == 400);
    admin("POST", "/stub/faults", R"({"faults": {"shed_fraction": 1, "reported_load": 0.25}})");
    const EndpointReply shed = ask("/shard/query", "x");
    CHECK(shed.m_notRun);
    CHECK(shed.m_load == 0.25);
    admin("POST", "/stub/faults", R"({"faults": {"shed_fraction": 0, "crash_marker": "BOOM"}})");
    CHECK(ask("/shard/query", "x BOOM").m_outcome == CallOutcome::ConnectionLost);
    CHECK(ask("/shard/query", "x").m_outcome == CallOutcome::NotSent);
    runUntil([&] { return m_stub->endpoints()[0]->isListening(); });
    CHECK(ask("/shard/query", "x").m_status == 200);
}

// Guards against running endpoints that the daemons no longer list, because a refused renewal is not followed by a
// registration.
TEST_CASE_METHOD(Fixture, "The stub announces its endpoints and registers again when a renewal is refused")
{
    runUntil([&] { return m_daemon.count("register") == 4; });
    const Json first = m_daemon.m_announcements.at(0);
    CHECK(first.at("id") == "verses-0-0");
    CHECK(first.at("holdings") == Json::parse(R"([{"snapshot":7,"layout":1,"shard":0}])"));
    CHECK(first.at("layouts") == Json::parse(R"([{"snapshot":7,"layout":1,"weights":[2,1]}])"));
    runUntil([&] { return m_daemon.count("renew") >= 4; });
    m_daemon.m_status = 404;
    runUntil([&] { return m_daemon.count("register") >= 8; });
    m_daemon.m_status = 200;
    admin("POST", "/stub/drain", R"({"endpoints": ["verses-0-0"]})");
    runUntil([&] { return m_daemon.count("drain") == 1; });
    bool left = false;
    m_stub->leave([&] { left = true; });
    runUntil([&] { return left; });
    CHECK(m_daemon.count("leave") == 4);
}

// Guards against a misspelt key that is ignored, so that a run measures something other than the scenario says.
TEST_CASE("A scenario with an unknown key is refused")
{
    std::string error;
    CHECK_FALSE(readScenario("services: []\nfaultss: {}", error));
    CHECK(error.find("faultss") != std::string::npos);
    CHECK_FALSE(readScenario("services: [", error));
}
