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

/** HTTP server that takes the place of a daemon and answers with the handler of the test, on its own thread. */
class FakeDaemon {
public:
    // Returns the body of the answer and may change its HTTP status; status 0 closes the connection without an answer.
    using Handler = std::function<std::string(const std::string& target, const Json& body, unsigned& status)>;

    explicit FakeDaemon(Handler handler)
        : m_handler(std::move(handler))
        , m_server(m_context, "127.0.0.1", 0,
              [this](const std::string&, const std::string& target, const std::string& body, unsigned& status) {
                  const Json json = body.empty() ? Json() : Json::parse(body);
                  m_targets.push_back(target);
                  if (!json.is_null())
                      m_statements.push_back(json);
                  return m_handler(target, json, status);
              })
        , m_thread([this] { m_context.run(); })
    {
    }

    ~FakeDaemon()
    {
        m_context.stop();
        m_thread.join();
    }

    std::string serverOption() const { return " --server=127.0.0.1:" + std::to_string(m_server.port()); }

    // Targets and JSON bodies of the calls received. Read them only after flamingoctl has exited.
    std::vector<std::string> m_targets;
    std::vector<Json> m_statements;

private:
    boost::asio::io_context m_context;
    Handler m_handler;
    flamingo::bench::AdminServer m_server;
    std::thread m_thread;
};

/** Result of one run of flamingoctl. */
struct Result {
    int m_status = -1; // exit status
    std::string m_output; // standard output and error together
};

/** Runs flamingoctl with the arguments, as written in a shell. */
Result runFlamingoctl(const std::string& arguments)
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

bool outputContains(const Result& result, const std::string& text)
{
    return result.m_output.find(text) != std::string::npos;
}

/** Returns the --server option for a port that nothing listens on. It is bound, so that no other process takes it. */
std::string unreachableServerOption()
{
    static boost::asio::io_context context;
    static boost::asio::ip::tcp::socket socket(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    return " --server=127.0.0.1:" + std::to_string(socket.local_endpoint().port());
}

/** Returns an answer with the result code Ok and the additional fields. */
std::string okAnswer(const std::string& fields = "")
{
    return R"({"code":0,"name":"Ok","text":"","revision":7,"configuration_version":3)" + fields + "}";
}

} // namespace

// Guards against reporting a change as in force when it is only accepted.
TEST_CASE("flamingoctl waits until a change is in force")
{
    int polls = 0;
    FakeDaemon daemon([&](const std::string& target, const Json&, unsigned&) {
        if (target == "/v1/statement")
            return okAnswer(R"(,"in_force":false)");
        ++polls;
        return okAnswer(R"(,"in_force":)" + std::string(polls == 3 ? "true" : "false") + R"(,"holders":{"confirmed":)"
            + std::to_string(polls) + R"(,"total":3})");
    });
    const Result result
        = runFlamingoctl(daemon.serverOption() + " --command-id=c1 --expect-version=2 'drop service verses'");
    CHECK(result.m_status == 0);
    CHECK(outputContains(result, "command id: c1"));
    CHECK(outputContains(result, "confirmed by 2 of 3 VMs"));
    CHECK(outputContains(result, "in_force: true"));
    REQUIRE(daemon.m_statements.size() == 1);
    CHECK(daemon.m_statements[0]
        == Json({ { "text", "DROP SERVICE verses" }, { "command_id", "c1" }, { "expected_version", 2 } }));
    CHECK(daemon.m_targets.at(1).rfind("/v1/commands/7?wait_ms=", 0) == 0);

    const Result noWait = runFlamingoctl(daemon.serverOption() + " --no-wait 'DROP SERVICE verses'");
    CHECK(noWait.m_status == 0);
    CHECK(daemon.m_targets.size() == 5);
}

// Guards against waiting without a limit, and against exiting with success when the limit has passed.
TEST_CASE("A change that is not in force within the timeout is reported as an unknown outcome")
{
    FakeDaemon daemon([](const std::string&, const Json&, unsigned&) {
        return okAnswer(R"(,"in_force":false,"holders":{"confirmed":1,"total":2})");
    });
    const Result result = runFlamingoctl(daemon.serverOption() + " --timeout=0.5 'DROP SERVICE verses'");
    CHECK(result.m_status == 4);
    CHECK(outputContains(result, "accepted at revision 7, but not yet in force everywhere (confirmed by 1 of 2 VMs)"));
}

// Guards against a change that is applied twice because it is resent under another command id after a lost answer, and
// against reporting a result that is not known.
TEST_CASE("After a lost answer a change is resent with the same command id")
{
    FakeDaemon unanswering([](const std::string&, const Json&, unsigned& status) {
        status = 0;
        return std::string();
    });
    FakeDaemon refusing([](const std::string&, const Json&, unsigned& status) {
        status = 503;
        return std::string(R"({"code":1001,"name":"NoLease","text":"no lease"})");
    });
    FakeDaemon answering([](const std::string&, const Json&, unsigned&) { return okAnswer(R"(,"in_force":true)"); });
    const Result result
        = runFlamingoctl(unanswering.serverOption() + answering.serverOption() + " 'DROP SERVICE verses'");
    CHECK(result.m_status == 0);
    REQUIRE(unanswering.m_statements.size() == 1);
    REQUIRE(answering.m_statements.size() == 1);
    CHECK(unanswering.m_statements[0]["command_id"] == answering.m_statements[0]["command_id"]);

    // A refusal by another daemon does not prove that the first attempt had no effect.
    const Result unresolved
        = runFlamingoctl(unanswering.serverOption() + refusing.serverOption() + " --timeout=1 'DROP SERVICE verses'");
    CHECK(unresolved.m_status == 4);
    CHECK(outputContains(unresolved, "resend with the same command id"));
}

// Guards against a request that flamingoctl sends twice, because the first send may have been executed.
TEST_CASE("A request is not resent after a lost answer")
{
    FakeDaemon unanswering([](const std::string&, const Json&, unsigned& status) {
        status = 0;
        return std::string();
    });
    FakeDaemon answering([](const std::string&, const Json&, unsigned&) { return okAnswer(); });
    const Result result = runFlamingoctl(
        unanswering.serverOption() + answering.serverOption() + " \"SEND place TO orders ID '1796342400-x' '{}'\"");
    CHECK(result.m_status == 4);
    CHECK(answering.m_statements.empty());
    // Nothing listens on the first port, so the request was certainly not received and may be sent to the next server.
    CHECK(runFlamingoctl(
              unreachableServerOption() + answering.serverOption() + " \"SEND place TO orders ID '1796342400-x' '{}'\"")
              .m_status
        == 0);
    CHECK(answering.m_statements.size() == 1);
}

// Guards against an exit status that does not tell scripts which class of failure occurred.
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
        CHECK(runFlamingoctl(daemon.serverOption() + " --timeout=1 SHOW VMS").m_status == status);
    }
    CHECK(runFlamingoctl(daemon.serverOption() + " 'SHOW VMSS'").m_status == 5);
    CHECK(runFlamingoctl(daemon.serverOption() + " --output=xml 'SHOW VMS'").m_status == 2);
    CHECK(runFlamingoctl(daemon.serverOption() + " --timeout=x 'SHOW VMS'").m_status == 2);
    CHECK(runFlamingoctl(daemon.serverOption() + " --command-id=c 'SHOW VMS'").m_status == 2);
    CHECK(runFlamingoctl(unreachableServerOption() + " 'SHOW VMS'").m_status == 3);
}

// Guards against rows that are lost or misaligned, and against running the first statements of a text that has a syntax
// error further on.
TEST_CASE("Rows are printed as a table or as JSON")
{
    FakeDaemon daemon([](const std::string&, const Json&, unsigned&) {
        return okAnswer(R"(,"rows":[{"id":"a","slots":2},{"id":"größer","note":"x\ny"}])");
    });
    const Result table = runFlamingoctl(daemon.serverOption() + " 'SHOW ENDPOINTS'");
    CHECK(table.m_status == 0);
    CHECK(outputContains(table, "id      slots  note\na       2\ngrößer         x y\n"));
    const Result json = runFlamingoctl(daemon.serverOption() + " --output=json 'SHOW ENDPOINTS'");
    CHECK(Json::parse(json.m_output).at("rows").size() == 2);
    const std::size_t before = daemon.m_statements.size();
    CHECK(runFlamingoctl(daemon.serverOption() + " 'SHOW VMS; SHOW VMSS'").m_status == 5);
    CHECK(daemon.m_statements.size() == before);
    CHECK(outputContains(runFlamingoctl(daemon.serverOption() + " - < /dev/null"), "expected a statement; found none"));
}
