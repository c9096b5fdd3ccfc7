#include "apifixture.h"

using namespace flamingo;
using namespace flamingo::test;
using namespace std::chrono_literals;

TEST_CASE("callers send queries and requests")
{
    ApiFixture api;

    SECTION("a query reaches the handler with all its fields, and its answer is returned complete")
    {
        api.m_queryAnswer.m_id = RequestId("1700000000-abc");
        api.m_queryAnswer.m_snapshot = SnapshotVersion(18446744073709551615u);
        api.m_queryAnswer.m_layout = LayoutId(3);
        api.m_queryAnswer.m_shardsAnswered = 19;
        api.m_queryAnswer.m_shardsTotal = 20;
        api.m_queryAnswer.m_coverage = 0.95;
        api.m_queryAnswer.m_configurationVersion = ConfigurationVersion(7);
        api.m_queryAnswer.m_hits = R"([{"score":1.50,"key":"a","data":"ä"}])";
        const auto response = api.post("/v1/query",
            R"({"request_id":"1700000000-abc","service":"verse","caller_class":"shop","body":"{\"q\": 1}",)"
            R"("deadline_ms":77,"coverage_floor":0.9,"limit":10})");
        REQUIRE(api.m_queries.size() == 1);
        const QueryRequest& query = api.m_queries[0];
        CHECK(query.m_id.value() == "1700000000-abc");
        CHECK(query.m_service.value() == "verse");
        CHECK(query.m_callerClass.value() == "shop");
        CHECK(query.m_body == "{\"q\": 1}");
        CHECK(query.m_deadline == 77ms);
        CHECK(query.m_coverageFloor == 0.9);
        CHECK(query.m_limit == 10);

        CHECK(response.m_status == 200);
        CHECK(response.m_headers.at("Content-Type") == "application/json");
        const auto json = response.json();
        CHECK(json["code"] == 0);
        CHECK(json["name"] == "Ok");
        CHECK(json["request_id"] == "1700000000-abc");
        CHECK(json["snapshot"] == 18446744073709551615u);
        CHECK(json["layout"] == 3);
        CHECK(json["coverage"]
            == nlohmann::json { { "fraction", 0.95 }, { "shards_answered", 19 }, { "shards_total", 20 } });
        CHECK(json["configuration_version"] == 7);
        // The bytes of the hits are copied unchanged.
        CHECK(response.m_body.find(R"("hits":[{"score":1.50,"key":"a","data":"ä"}])") != std::string::npos);
    }
    SECTION("a query without an id gets one, and an object as body is passed as JSON text")
    {
        const auto json = api.post("/v1/query", R"({"service":"verse","body":{"b":[1,2.5],"a":"x"}})").json();
        REQUIRE(api.m_queries.size() == 1);
        CHECK(api.m_queries[0].m_body == R"({"a":"x","b":[1,2.5]})");
        CHECK(api.m_queries[0].m_callerClass.value() == "default");
        CHECK_FALSE(api.m_queries[0].m_deadline);
        CHECK(json["request_id"] == api.m_queries[0].m_id.value());
        CHECK(std::stoll(api.m_queries[0].m_id.value()) > 1700000000);
    }
    SECTION("a request without an id reaches the handler without one, since only the handler knows whether its kind "
            "needs one")
    {
        api.m_callerAnswer.m_answer = R"({"order": 17})";
        api.m_callerAnswer.m_recorded = true;
        const auto response
            = api.post("/v1/request", R"({"service":"orders","kind":"bill","body":"x","request_id":"1700000000-z"})");
        CHECK(response.json()["answer"]["order"] == 17);
        CHECK(response.json()["recorded"] == true);
        CHECK(response.json()["request_id"] == "1700000000-z");
        api.post("/v1/request", R"({"service":"orders","kind":"look","body":"x"})");
        REQUIRE(api.m_requests.size() == 2);
        CHECK(api.m_requests[0].m_kind == "bill");
        CHECK(api.m_requests[1].m_id.value().empty());
    }
    SECTION("an endpoint's answer that is not JSON is returned as a valid JSON string")
    {
        api.m_callerAnswer.m_answer = "plain \xff text";
        const auto response = api.post("/v1/request", R"({"service":"orders","kind":"look","body":"x"})");
        CHECK(response.json()["answer"] == "plain \xef\xbf\xbd text");
    }
    SECTION("many requests share one connection")
    {
        ApiConnection connection(api.m_server.port());
        // Together they exceed the limit for one body, which applies to each request separately.
        const std::string body = R"({"service":"v","body":")" + std::string(1u << 20, 'x') + "\"}";
        for (int i = 0; i < 20; ++i)
            CHECK(connection.call(http::verb::post, "/v1/query", body).m_status == 200);
        CHECK(api.m_queries.size() == 20);
    }
    SECTION("a client that sends Expect: 100-continue is told to send its body")
    {
        const std::string body = R"({"service":"v","body":""})";
        ApiConnection connection(api.m_server.port());
        connection.send("POST /v1/query HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n");
        CHECK(connection.read().m_status == 100);
        connection.send(body);
        CHECK(connection.read().m_status == 200);
    }
    SECTION("the largest allowed body and a large answer are transferred complete")
    {
        const std::string head = R"({"service":"v","body":")";
        const std::string body(ApiSettings().m_maxBodyBytes - head.size() - 2, 'x');
        api.m_queryAnswer.m_hits = "[\"" + std::string(20u << 20, 'y') + "\"]";
        const auto response = api.post("/v1/query", head + body + "\"}");
        CHECK(response.m_status == 200);
        CHECK(response.m_body.size() > api.m_queryAnswer.m_hits.size());
        REQUIRE(api.m_queries.size() == 1);
        CHECK(api.m_queries[0].m_body == body);
    }
}

TEST_CASE("result codes are mapped to HTTP statuses and Retry-After")
{
    ApiFixture api;
    struct Case {
        ResultCode m_code;
        unsigned m_status;
        std::string m_retryAfter;
    };
    const Case cases[]
        = { { ResultCode::Ok, 200, "" }, { ResultCode::Overloaded, 503, "3" }, { ResultCode::NoLease, 503, "3" },
              { ResultCode::VersionMismatch, 409, "3" }, { ResultCode::DeadlineExceeded, 504, "" },
              { ResultCode::EndpointFailed, 502, "" }, { ResultCode::CoverageBelowFloor, 502, "" },
              { ResultCode::InternalError, 500, "" }, { ResultCode::OutcomeUnknown, 500, "" },
              { ResultCode::StillRunning, 202, "" }, { ResultCode::UnknownService, 400, "" } };
    for (const Case& expected : cases) {
        INFO(resultCodeName(expected.m_code));
        api.m_queryAnswer.m_code = expected.m_code;
        api.m_queryAnswer.m_text = "why";
        api.m_queryAnswer.m_retryAfter = 2001ms;
        const auto response = api.post("/v1/query", R"({"service":"v","body":""})");
        CHECK(response.m_status == expected.m_status);
        CHECK(response.json()["code"] == static_cast<int>(expected.m_code));
        CHECK(response.json()["text"] == "why");
        const auto retry = response.m_headers.find("Retry-After");
        CHECK((retry == response.m_headers.end() ? "" : retry->second) == expected.m_retryAfter);
    }
    SECTION("a refusal without a retry delay has Retry-After: 1, unless a retry cannot succeed")
    {
        api.m_queryAnswer.m_retryAfter = 0ms;
        api.m_queryAnswer.m_code = ResultCode::NoLease;
        CHECK(api.post("/v1/query", R"({"service":"v","body":""})").m_headers.at("Retry-After") == "1");
        api.m_queryAnswer.m_code = ResultCode::Quarantined;
        CHECK(api.post("/v1/query", R"({"service":"v","body":""})").m_headers.count("Retry-After") == 0);
    }
    SECTION("an exception while a query runs is answered with an internal error")
    {
        api.m_onQuery = [](const QueryRequest&) -> QueryAnswer { throw std::runtime_error("broken"); };
        const auto response = api.post("/v1/query", R"({"service":"v","body":"","request_id":"1-a"})");
        CHECK(response.m_status == 500);
        CHECK(response.json()["name"] == "InternalError");
        CHECK(response.json()["request_id"] == "1-a");
    }
}

TEST_CASE("endpoints send announcements")
{
    ApiFixture api;
    const std::string registration
        = R"({"action":"register","id":"e1","service":"verse","address":"127.0.0.5","port":9000,"data_centre":"dc1",)"
          R"("incarnation":18446744073709551615,"slots":2,"connections":60,)"
          R"("layouts":[{"snapshot":5,"layout":1,"weights":[3,4]},{"snapshot":6,"layout":1,"weights":[7]}],)"
          R"("holdings":[{"snapshot":5,"layout":1,"shard":1},{"snapshot":6,"layout":1,"shard":0}]})";

    SECTION("a registration reaches the handler with all its fields")
    {
        api.m_announcementAnswer.m_revision = Revision(12);
        const auto response = api.post("/v1/announce", registration);
        CHECK(response.m_status == 200);
        CHECK(response.json()["revision"] == 12);
        CHECK(response.json()["renew_every_ms"] == 2000);
        REQUIRE(api.m_announcements.size() == 1);
        const Announcement& announcement = api.m_announcements[0];
        CHECK(announcement.m_action == AnnouncementAction::Register);
        CHECK(announcement.m_endpoint.m_id.value() == "e1");
        CHECK(announcement.m_endpoint.m_address == "127.0.0.5");
        CHECK(announcement.m_endpoint.m_port == 9000);
        CHECK(announcement.m_endpoint.m_incarnation.value() == 18446744073709551615u);
        CHECK(announcement.m_endpoint.m_slots == 2);
        CHECK(announcement.m_endpoint.m_connections == 60);
        REQUIRE(announcement.m_layouts.size() == 2);
        CHECK(announcement.m_layouts[0].m_key.m_service.value() == "verse");
        CHECK(announcement.m_layouts[0].m_shardWeights == std::vector<std::uint32_t> { 3, 4 });
        REQUIRE(announcement.m_endpoint.m_holdings.size() == 2);
        CHECK(announcement.m_endpoint.m_holdings[0].m_version.value() == 5);
        CHECK(announcement.m_endpoint.m_holdings[0].m_shard.value() == 1);
    }
    SECTION("renewals, drains and departures need only id and incarnation")
    {
        for (const char* action : { "renew", "drain", "leave" })
            CHECK(api.post("/v1/announce", std::string(R"({"id":"e1","incarnation":4,"action":")") + action + "\"}")
                      .m_status
                == 200);
        REQUIRE(api.m_announcements.size() == 3);
        CHECK(api.m_announcements[0].m_action == AnnouncementAction::Renew);
        CHECK(api.m_announcements[1].m_action == AnnouncementAction::Drain);
        CHECK(api.m_announcements[2].m_action == AnnouncementAction::Leave);
    }
    SECTION("an invalid registration is refused with the name of the field")
    {
        const std::pair<const char*, const char*> edits[] = { { R"("127.0.0.5")", R"("localhost")" }, { "9000", "0" },
            { "9000", "65536" }, { "[3,4]", "[3,0]" }, { "[3,4]", "[]" }, { R"("shard":1)", R"("shard":2)" },
            { R"("shard":1)", R"("shard":"1")" }, { R"({"snapshot":6,"layout":1,"shard":0})", "7" },
            { R"({"snapshot":6,"layout":1,"weights":[7]})", R"({"snapshot":5,"layout":1,"weights":[7]})" },
            { R"("slots":2)", R"("slots":-2)" }, { R"("slots":2)", R"("slots":2.0)" },
            { R"("action":"register")", R"("action":"hello")" } };
        const char* fields[] = { "address", "port", "port", "layouts[0].weights", "layouts[0].weights",
            "holdings[0].shard", "holdings[0].shard", "holdings[1].", "layouts[1]", "slots", "slots", "action" };
        for (std::size_t i = 0; i < std::size(edits); ++i) {
            std::string body = registration;
            body.replace(body.find(edits[i].first), std::string(edits[i].first).size(), edits[i].second);
            const auto response = api.post("/v1/announce", body);
            INFO(body << response.m_body);
            CHECK(response.m_status == 400);
            CHECK(response.json()["name"] == "InvalidField");
            CHECK(response.json()["text"].get<std::string>().find("\"" + std::string(fields[i]) + "\"")
                != std::string::npos);
        }
        CHECK(api.m_announcements.empty());
    }
}

TEST_CASE("operators send statements and ask whether their changes are in force")
{
    ApiFixture api;
    api.m_statementAnswer.m_revision = Revision(40);
    api.m_statementAnswer.m_version = ConfigurationVersion(9);
    api.m_statementAnswer.m_inForce = true;
    api.m_statementAnswer.m_holdersConfirmed = 2;
    api.m_statementAnswer.m_holdersTotal = 3;
    api.m_statementAnswer.m_rows = R"([{"service":"verse"}])";
    const auto json = api.post("/v1/statement",
                             R"({"text":"SHOW SERVICES;","command_id":"c-1","expected_version":8,"wait_ms":500})")
                          .json();
    REQUIRE(api.m_statements.size() == 1);
    CHECK(api.m_statements[0].m_text == "SHOW SERVICES;");
    CHECK(api.m_statements[0].m_commandId.value() == "c-1");
    CHECK(api.m_statements[0].m_expectedVersion == ConfigurationVersion(8));
    CHECK(api.m_statements[0].m_wait == 500ms);
    CHECK(json["revision"] == 40);
    CHECK(json["configuration_version"] == 9);
    CHECK(json["command_id"] == "c-1");
    CHECK(json["in_force"] == true);
    CHECK(json["holders"] == nlohmann::json { { "confirmed", 2 }, { "total", 3 } });
    CHECK(json["rows"][0]["service"] == "verse");

    const auto status = api.get("/v1/commands/40?wait_ms=20");
    CHECK(status.m_status == 200);
    CHECK(status.json()["revision"] == 40);
    CHECK(status.json()["in_force"] == true);
    REQUIRE(api.m_statusRequests.size() == 1);
    CHECK(api.m_statusRequests[0].m_wait == 20ms);

    for (const char* wrong : { "/v1/commands/x", "/v1/commands/-1", "/v1/commands/4?wait_ms=x",
             "/v1/commands/4?wait_ms=-1", "/v1/commands/4?wait_ms=99999999999", "/v1/commands/99999999999999999999" })
        CHECK(api.get(wrong).m_status == 400);
    CHECK(api.m_statusRequests.size() == 1);
}

TEST_CASE("health checks and metrics are served, and unknown paths and methods are refused")
{
    ApiFixture api;
    CHECK(api.get("/healthz").m_status == 200);
    CHECK(ApiConnection(api.m_server.port()).call(http::verb::head, "/healthz").m_status == 200);
    api.m_health = { false, "no lease" };
    const auto response = api.get("/healthz");
    CHECK(response.m_status == 503);
    CHECK(response.json()["text"] == "no lease");
    const auto metrics = api.get("/metrics");
    CHECK(metrics.m_body == "# HELP x y\n");
    CHECK(metrics.m_headers.at("Content-Type").find("version=0.0.4") != std::string::npos);
    CHECK(api.get("/nothing").m_status == 404);
    const auto wrongMethod = api.get("/v1/query");
    CHECK(wrongMethod.m_status == 405);
    CHECK(wrongMethod.m_headers.at("Allow") == "POST");
}
