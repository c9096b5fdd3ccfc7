#include "apifixture.h"

#include <condition_variable>
#include <future>
#include <thread>

using namespace flamingo;
using namespace flamingo::test;
using namespace std::chrono_literals;

namespace {

const std::string goodQuery = R"({"service":"v","body":"x"})";

// Blocks handlers until the test opens the gate.
struct Gate {
    QueryAnswer pass()
    {
        std::unique_lock lock(m_mutex);
        ++m_blocked;
        m_changed.notify_all();
        m_changed.wait(lock, [this] { return m_open; });
        return {};
    }
    void waitForBlocked(int count)
    {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [&] { return m_blocked >= count; });
    }
    void open()
    {
        const std::lock_guard lock(m_mutex);
        m_open = true;
        m_changed.notify_all();
    }
    std::mutex m_mutex;
    std::condition_variable m_changed;
    int m_blocked = 0;
    bool m_open = false;
};

} // namespace

TEST_CASE("a server shuts down without interrupting requests in flight")
{
    Gate gate;
    ApiHandlers handlers;
    handlers.m_query = [&](const QueryRequest&) { return gate.pass(); };
    handlers.m_health = [] { return HealthAnswer { true, "" }; };
    ApiSettings settings;
    settings.m_address = apiAddress;
    ApiServer server(settings, handlers);
    Reason reason;
    REQUIRE(server.start(reason));

    ApiConnection kept(server.port());
    CHECK(kept.call(http::verb::get, "/healthz").m_status == 200);
    ApiConnection running(server.port());
    running.send("POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(goodQuery.size())
        + "\r\n\r\n" + goodQuery);
    gate.waitForBlocked(1);
    // The server counts a request until libmicrohttpd reports its completion, which may be after the caller has read
    // the answer. Hence the health check may still be in flight here.
    const auto until = std::chrono::steady_clock::now() + 20s;
    while (server.inFlight() != 1 && std::chrono::steady_clock::now() < until)
        std::this_thread::sleep_for(1ms);
    CHECK(server.inFlight() == 1);

    server.beginShutdown();
    SECTION("new work is refused as not run on persistent and new connections, and the health check fails")
    {
        const auto refused = kept.call(http::verb::post, "/v1/query", goodQuery);
        CHECK(refused.m_status == 503);
        CHECK(refused.json()["code"] == 1003);
        CHECK(refused.m_headers.at("Connection") == "close");
        CHECK(kept.isClosedByServer());
        CHECK(ApiConnection(server.port()).call(http::verb::get, "/healthz").m_status == 503);
        for (const auto& [target, body] : { std::pair("/v1/request", R"({"service":"v","kind":"k","body":""})"),
                 std::pair("/v1/announce", R"({"action":"renew","id":"e","incarnation":1})"),
                 std::pair("/v1/statement", R"({"text":"SHOW"})") })
            CHECK(ApiConnection(server.port()).call(http::verb::post, target, body).json()["code"] == 1003);
    }
    SECTION("the answer in flight arrives complete before the server stops")
    {
        auto stopped = std::async(std::launch::async, [&] { return server.stop(); });
        CHECK(stopped.wait_for(200ms) == std::future_status::timeout);
        gate.open();
        CHECK(running.read().m_status == 200);
        CHECK(stopped.get());
        CHECK(server.inFlight() == 0);
        CHECK_THROWS(ApiConnection(server.port()));
    }
    gate.open();
}

TEST_CASE("an answer that takes longer than the idle and upload timeouts still arrives")
{
    ApiSettings settings;
    settings.m_idleTimeout = 1s;
    settings.m_uploadTimeout = 200ms;
    ApiFixture api(settings);
    api.m_onQuery = [](const QueryRequest&) {
        std::this_thread::sleep_for(2500ms);
        return QueryAnswer {};
    };
    CHECK(api.post("/v1/query", goodQuery).m_status == 200);
}

TEST_CASE("callers are served concurrently")
{
    Gate gate;
    ApiHandlers handlers;
    handlers.m_query = [&](const QueryRequest&) { return gate.pass(); };
    ApiSettings settings;
    settings.m_address = apiAddress;
    ApiServer server(settings, handlers);
    Reason reason;
    REQUIRE(server.start(reason));
    std::vector<std::future<unsigned>> callers;
    for (int i = 0; i < 40; ++i)
        callers.push_back(std::async(std::launch::async,
            [&] { return ApiConnection(server.port()).call(http::verb::post, "/v1/query", goodQuery).m_status; }));
    gate.waitForBlocked(40);
    CHECK(server.inFlight() == 40);
    gate.open();
    for (auto& caller : callers)
        CHECK(caller.get() == 200);
}
