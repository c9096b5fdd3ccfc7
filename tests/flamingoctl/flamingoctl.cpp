#include "endpoint/adminserver.h"

#include <nlohmann/json.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <sys/wait.h>

#include <array>
#include <cstdio>
#include <functional>
#include <string>
#include <thread>
#include <vector>

using Json = nlohmann::json;

namespace {

/** Stands for one daemon; answers as the test says, on a thread of its own. */
class FakeDaemon {
public:
    using Script = std::function<std::string(const std::string& target, const Json& body, unsigned& status)>;

    explicit FakeDaemon(Script script)
        : m_script(std::move(script))
        , m_server(m_context, "127.0.0.1", 0,
              [this](const std::string&, const std::string& target, const std::string& body, unsigned& status) {
                  const Json json = body.empty() ? Json() : Json::parse(body);
                  m_targets.push_back(target);
                  if (!json.is_null())
                      m_statements.push_back(json);
                  return m_script(target, json, status);
              })
        , m_thread([this] { m_context.run(); })
    {
    }

    ~FakeDaemon()
    {
        m_context.stop();
        m_thread.join();
    }

    std::string option() const { return " --server=127.0.0.1:" + std::to_string(m_server.port()); }

    // Read only after flamingoctl has ended.
    std::vector<std::string> m_targets;
    std::vector<Json> m_statements;

private:
    boost::asio::io_context m_context;
    Script m_script;
    flamingo::bench::AdminServer m_server;
    std::thread m_thread;
};

struct Result {
    int m_status = -1;
    std::string m_output; // standard output and error together
};

Result ctl(const std::string& arguments)
{
    Result result;
    FILE* pipe = popen((std::string(FLAMINGOCTL) + arguments + " 2>&1").c_str(), "r");
    REQUIRE(pipe);
    std::array<char, 4096> buffer;
    std::size_t bytes = 0;
    while ((bytes = fread(buffer.data(), 1, buffer.size(), pipe)) > 0)
        result.m_output.append(buffer.data(), bytes);
    result.m_status = WEXITSTATUS(pclose(pipe));
    return result;
}

bool has(const Result& result, const std::string& text) { return result.m_output.find(text) != std::string::npos; }

/** Returns the option for a port that is bound, so that no other process takes it, but not listened on. */
std::string unreachable()
{
    static boost::asio::io_context context;
    static boost::asio::ip::tcp::socket socket(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    return " --server=127.0.0.1:" + std::to_string(socket.local_endpoint().port());
}

std::string ok(const std::string& fields = "")
{
    return R"({"code":0,"name":"Ok","text":"","revision":7,"configuration_version":3)" + fields + "}";
}

} // namespace

// Guards against a change that is reported as in force before it is.
TEST_CASE("A change is followed until it is in force")
{
    int polls = 0;
    FakeDaemon daemon([&](const std::string& target, const Json&, unsigned&) {
        if (target == "/v1/statement")
            return ok(R"(,"in_force":false)");
        ++polls;
        return ok(R"(,"in_force":)" + std::string(polls == 3 ? "true" : "false") + R"(,"holders":{"confirmed":)"
            + std::to_string(polls) + R"(,"total":3})");
    });
    const Result result = ctl(daemon.option() + " --command-id=c1 --expect-version=2 'drop service verses'");
    CHECK(result.m_status == 0);
    CHECK(has(result, "command id: c1"));
    CHECK(has(result, "confirmed by 2 of 3 VMs"));
    CHECK(has(result, "in_force: true"));
    REQUIRE(daemon.m_statements.size() == 1);
    CHECK(daemon.m_statements[0]
        == Json({ { "text", "DROP SERVICE verses" }, { "command_id", "c1" }, { "expected_version", 2 } }));
    CHECK(daemon.m_targets.at(1).rfind("/v1/commands/7?wait_ms=", 0) == 0);

    const Result noWait = ctl(daemon.option() + " --no-wait 'DROP SERVICE verses'");
    CHECK(noWait.m_status == 0);
    CHECK(daemon.m_targets.size() == 5);
}

// Guards against a wait without end, or one that ends as a success.
TEST_CASE("A change that is not in force in time has an open outcome")
{
    FakeDaemon daemon([](const std::string&, const Json&, unsigned&) {
        return ok(R"(,"in_force":false,"holders":{"confirmed":1,"total":2})");
    });
    const Result result = ctl(daemon.option() + " --timeout=0.5 'DROP SERVICE verses'");
    CHECK(result.m_status == 4);
    CHECK(has(result, "accepted at revision 7, but not yet in force everywhere (confirmed by 1 of 2 VMs)"));
}

// Guards against a change that is applied twice, or whose outcome is guessed, after a lost answer.
TEST_CASE("After a lost answer a change is sent again under the same command id")
{
    FakeDaemon lost([](const std::string&, const Json&, unsigned& status) {
        status = 0;
        return std::string();
    });
    FakeDaemon refusing([](const std::string&, const Json&, unsigned& status) {
        status = 503;
        return std::string(R"({"code":1001,"name":"NoLease","text":"no lease"})");
    });
    FakeDaemon good([](const std::string&, const Json&, unsigned&) { return ok(R"(,"in_force":true)"); });
    const Result result = ctl(lost.option() + good.option() + " 'DROP SERVICE verses'");
    CHECK(result.m_status == 0);
    REQUIRE(lost.m_statements.size() == 1);
    REQUIRE(good.m_statements.size() == 1);
    CHECK(lost.m_statements[0]["command_id"] == good.m_statements[0]["command_id"]);

    // A refusal by another daemon does not show that the first attempt was not run.
    const Result open = ctl(lost.option() + refusing.option() + " --timeout=1 'DROP SERVICE verses'");
    CHECK(open.m_status == 4);
    CHECK(has(open, "resend with the same command id"));
}

// Guards against an order that is sent twice by the tool.
TEST_CASE("A request is not sent again after a lost answer")
{
    FakeDaemon lost([](const std::string&, const Json&, unsigned& status) {
        status = 0;
        return std::string();
    });
    FakeDaemon good([](const std::string&, const Json&, unsigned&) { return ok(); });
    const Result result = ctl(lost.option() + good.option() + " \"SEND place TO orders ID '1796342400-x' '{}'\"");
    CHECK(result.m_status == 4);
    CHECK(good.m_statements.empty());
    // Nothing listens there, so the first server provably got nothing.
    CHECK(ctl(unreachable() + good.option() + " \"SEND place TO orders ID '1796342400-x' '{}'\"").m_status == 0);
    CHECK(good.m_statements.size() == 1);
}

// Guards against scripts that take one kind of failure for another.
TEST_CASE("The exit status follows the class of the result code")
{
    int code = 0;
    FakeDaemon daemon([&](const std::string&, const Json&, unsigned&) {
        return R"({"code":)" + std::to_string(code) + R"(,"name":"N","text":"T"})";
    });
    for (const auto& [given, status] : std::vector<std::pair<int, int>> {
             { 0, 0 }, { 1009, 3 }, { 2001, 1 }, { 3001, 4 }, { 4003, 5 }, { 1001, 3 } }) {
        code = given;
        CAPTURE(given);
        CHECK(ctl(daemon.option() + " --timeout=1 SHOW VMS").m_status == status);
    }
    CHECK(ctl(daemon.option() + " 'SHOW VMSS'").m_status == 5);
    CHECK(ctl(daemon.option() + " --output=xml 'SHOW VMS'").m_status == 2);
    CHECK(ctl(daemon.option() + " --timeout=x 'SHOW VMS'").m_status == 2);
    CHECK(ctl(daemon.option() + " --command-id=c 'SHOW VMS'").m_status == 2);
    CHECK(ctl(unreachable() + " 'SHOW VMS'").m_status == 3);
}

// Guards against rows that are lost or unreadable, and against half a text that runs before its error shows.
TEST_CASE("Rows are printed as a table or as JSON")
{
    FakeDaemon daemon([](const std::string&, const Json&, unsigned&) {
        return ok(R"(,"rows":[{"id":"a","slots":2},{"id":"größer","note":"x\ny"}])");
    });
    const Result table = ctl(daemon.option() + " 'SHOW ENDPOINTS'");
    CHECK(table.m_status == 0);
    CHECK(has(table, "id      slots  note\na       2\ngrößer         x y\n"));
    const Result json = ctl(daemon.option() + " --output=json 'SHOW ENDPOINTS'");
    CHECK(Json::parse(json.m_output).at("rows").size() == 2);
    const std::size_t before = daemon.m_statements.size();
    CHECK(ctl(daemon.option() + " 'SHOW VMS; SHOW VMSS'").m_status == 5);
    CHECK(daemon.m_statements.size() == before);
    CHECK(has(ctl(daemon.option() + " - < /dev/null"), "expected a statement; found none"));
}
