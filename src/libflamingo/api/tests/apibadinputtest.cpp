#include "api/utf8.h"
#include "apifixture.h"

#include <random>
#include <thread>

using namespace flamingo;
using namespace flamingo::test;
using namespace std::chrono_literals;

namespace {

const std::string goodQuery = R"({"service":"v","body":"x"})";

std::string postHead(std::size_t length)
{
    return "POST /v1/query HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

// Returns whether a query is answered within 200 attempts. The server counts a closed connection until the
// connection's thread has ended, so new connections may still be above the limit for a moment.
bool servesEventually(ApiFixture& api)
{
    for (int attempt = 0; attempt < 200; ++attempt) {
        if (api.post("/v1/query", goodQuery).m_status == 200)
            return true;
        std::this_thread::sleep_for(20ms);
    }
    return false;
}

bool stillServes(ApiFixture& api) { return api.post("/v1/query", goodQuery).m_status == 200; }

} // namespace

TEST_CASE("invalid bodies are refused with the reason and reach no handler")
{
    ApiFixture api;
    struct Case {
        std::string m_body;
        const char* m_name;
        const char* m_inText;
    };
    const Case cases[] = {
        { "", "MalformedBody", "JSON" },
        { R"({"service":"v","body":"x")", "MalformedBody", "JSON" },
        { R"({"service":"v","body":"x"}})", "MalformedBody", "JSON" },
        { "[]", "MalformedBody", "object" },
        { "null", "MalformedBody", "object" },
        { std::string(200000, '['), "MalformedBody", "64 levels" },
        { R"({"service":"v","body":"x","deadline_ms":NaN})", "MalformedBody", "JSON" },
        { R"({"service":"v","body":"x","coverage_floor":1e999})", "MalformedBody", "JSON" },
        { "{\"service\":\"v\",\"body\":\"\xff\"}", "InvalidUtf8", "UTF-8" },
        { "{\"service\":\"v\",\"body\":\"\xed\xa0\x80\"}", "InvalidUtf8", "UTF-8" },
        { R"({"service":"v","body":"\ud800"})", "MalformedBody", "JSON" },
        { R"({"body":"x"})", "InvalidField", "\"service\"" },
        { R"({"service":"v"})", "InvalidField", "\"body\"" },
        { R"({"service":7,"body":"x"})", "InvalidField", "\"service\"" },
        { R"({"service":"","body":"x"})", "InvalidField", "\"service\"" },
        { R"({"service":"a\r\nb","body":"x"})", "InvalidField", "\"service\"" },
        { R"({"service":")" + std::string(129, 'a') + R"(","body":"x"})", "InvalidField", "\"service\"" },
        { R"({"service":"v","body":7})", "InvalidField", "\"body\"" },
        { R"({"service":"v","body":"x","deadline_ms":-5})", "InvalidField", "\"deadline_ms\"" },
        { R"({"service":"v","body":"x","deadline_ms":0})", "InvalidField", "\"deadline_ms\"" },
        { R"({"service":"v","body":"x","deadline_ms":1e3})", "InvalidField", "\"deadline_ms\"" },
        { R"({"service":"v","body":"x","deadline_ms":600001})", "InvalidField", "\"deadline_ms\"" },
        { R"({"service":"v","body":"x","deadline_ms":99999999999999999999999})", "InvalidField", "\"deadline_ms\"" },
        { R"({"service":"v","body":"x","deadline_ms":"50"})", "InvalidField", "\"deadline_ms\"" },
        { R"({"service":"v","body":"x","coverage_floor":1.01})", "InvalidField", "\"coverage_floor\"" },
        { R"({"service":"v","body":"x","coverage_floor":-0.1})", "InvalidField", "\"coverage_floor\"" },
        { R"({"service":"v","body":"x","coverage_floor":null})", "InvalidField", "\"coverage_floor\"" },
        { R"({"service":"v","body":"x","limit":4294967297})", "InvalidField", "\"limit\"" },
        { R"({"service":"v","body":"x","request_id":"a b"})", "InvalidField", "\"request_id\"" },
        { R"({"service":"v","body":"x","deadline":5})", "InvalidField", "\"deadline\"" },
    };
    for (const Case& bad : cases) {
        const auto response = api.post("/v1/query", bad.m_body);
        INFO(bad.m_body.substr(0, 200) << "\n" << response.m_body);
        CHECK(response.m_status == 400);
        CHECK(response.json()["name"] == bad.m_name);
        CHECK(response.json()["text"].get<std::string>().find(bad.m_inText) != std::string::npos);
        CHECK(response.json()["hits"].empty());
        CHECK(response.m_body.size() < 1000);
    }
    CHECK(api.m_queries.empty());
    CHECK(api.post("/v1/request", R"({"service":"v","body":"x"})").json()["text"] == "field \"kind\" is missing");
    CHECK(api.post("/v1/statement", R"({"text":5})").json()["text"] == "field \"text\" must be a string");
    CHECK(api.post("/v1/announce", "{}").json()["text"] == "field \"action\" is missing");
    CHECK(api.post("/v1/announce", R"({"action":"renew","id":"e"})").json()["text"]
        == "field \"incarnation\" is missing");
    CHECK(stillServes(api));
}

TEST_CASE("UTF-8 validation accepts exactly the valid sequences")
{
    for (const char* good : { "", "a", "\xc3\xa4", "\xe2\x82\xac", "\xf0\x9f\xa6\xa9", "\xf4\x8f\xbf\xbf" })
        CHECK(isValidUtf8(good));
    for (const char* bad :
        { "\x80", "\xc0\xaf", "\xc3", "\xe0\x9f\xbf", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xf5", "a\xe2\x82" })
        CHECK_FALSE(isValidUtf8(bad));
}

TEST_CASE("bodies above the limit are refused")
{
    ApiFixture api;

    SECTION("a body one byte above the limit is refused")
    {
        const auto response = api.post("/v1/query", std::string(ApiSettings().m_maxBodyBytes + 1, ' '));
        CHECK(response.m_status == 413);
        CHECK(response.json()["name"] == "BodyTooLarge");
    }
    // A server that read the whole body before checking its size would accept all 100 MB that the caller sends.
    const std::string block(1u << 20, 'x');
    const auto sendBlocks = [&](ApiConnection& connection, bool chunked) {
        std::size_t sent = 0;
        for (int i = 0; i < 100; ++i) {
            const bool open = chunked ? connection.send("100000\r\n" + block + "\r\n") : connection.send(block);
            if (!open)
                break;
            ++sent;
            std::this_thread::sleep_for(20ms);
        }
        return sent;
    };
    SECTION("a body of 100 MB with Content-Length is refused before it is complete")
    {
        ApiConnection connection(api.m_server.port());
        REQUIRE(connection.send(postHead(100u << 20)));
        CHECK(sendBlocks(connection, false) < 90);
        CHECK(connection.read().m_status == 413);
    }
    SECTION("a chunked body of 100 MB is refused before it is complete")
    {
        ApiConnection connection(api.m_server.port());
        REQUIRE(connection.send("POST /v1/query HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"));
        CHECK(sendBlocks(connection, true) < 90);
        CHECK(connection.read().m_status == 413);
    }
    CHECK(api.m_queries.empty());
    CHECK(stillServes(api));
}

TEST_CASE("broken connections do not occupy the server for long")
{
    ApiSettings settings;
    settings.m_uploadTimeout = 300ms;
    settings.m_idleTimeout = 1s;
    settings.m_maxConnections = 8;
    ApiFixture api(settings);

    SECTION("random bytes are refused or closed")
    {
        std::mt19937 random(20261204);
        for (int round = 0; round < 50; ++round) {
            ApiConnection connection(api.m_server.port());
            std::string bytes(1 + random() % 2000, ' ');
            for (char& byte : bytes)
                byte = static_cast<char>(random());
            connection.send(bytes + "\r\n\r\n");
            const unsigned status = connection.read().m_status;
            CHECK((status == 0 || status >= 400));
        }
    }
    SECTION("a connection that sends nothing, or half a header, is closed after the idle timeout")
    {
        ApiConnection silent(api.m_server.port());
        ApiConnection half(api.m_server.port());
        half.send("POST /v1/query HT");
        CHECK(silent.isClosedByServer());
        half.read();
        CHECK(half.isClosedByServer());
    }
    SECTION("a body that arrives slowly is refused after the upload timeout, though its connection is never idle")
    {
        ApiConnection slow(api.m_server.port());
        slow.send(postHead(1000));
        for (int i = 0; i < 100 && slow.send("x"); ++i)
            std::this_thread::sleep_for(20ms);
        CHECK(slow.read().m_status == 408);
    }
    SECTION("a caller that closes its connection in the middle of a body does not affect others")
    {
        for (int i = 0; i < 20; ++i) {
            ApiConnection gone(api.m_server.port());
            gone.send(postHead(1000) + "{");
        }
    }
    SECTION("connections with incomplete requests are closed, also above the limit, and then stop counting towards it")
    {
        std::vector<std::unique_ptr<ApiConnection>> idle;
        for (int i = 0; i < 30; ++i) {
            idle.push_back(std::make_unique<ApiConnection>(api.m_server.port()));
            idle.back()->send("POST /v1/query HTTP/1.1\r\nContent-Le");
        }
        for (auto& connection : idle)
            connection->isClosedByServer();
    }
    CHECK(servesEventually(api));
    for (int i = 0; i < 200 && api.m_server.inFlight() > 0; ++i)
        std::this_thread::sleep_for(20ms);
    CHECK(api.m_server.inFlight() == 0);
}

TEST_CASE("a server that cannot start returns the reason")
{
    Reason reason;
    ApiSettings settings;
    settings.m_address = "not an address";
    CHECK_FALSE(ApiServer(settings, {}).start(reason));
    CHECK(reason.m_code == ResultCode::InvalidSettings);
    ApiFixture first;
    settings.m_address = apiAddress;
    settings.m_port = first.m_server.port();
    CHECK_FALSE(ApiServer(settings, {}).start(reason));
    CHECK(reason.m_text.find("Address already in use") != std::string::npos);
}
