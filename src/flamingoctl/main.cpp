#include "language/parser.h"
#include "statementrunner.h"
#include "tablewriter.h"

#include <docopt/docopt.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <string>

namespace {

using namespace flamingo;
using Arguments = std::map<std::string, docopt::value>;

constexpr const char* usage = R"(Queries flamingoworks and changes its configuration.

Usage:
  flamingoctl [--server=ADDR]... [options] --file=FILE
  flamingoctl [--server=ADDR]... [options] -
  flamingoctl [--server=ADDR]... [options] STATEMENT...
  flamingoctl --help
  flamingoctl --version

Options:
  --server=ADDR        Address and port of a daemon; may be given several times. [default: 127.0.0.1:8400]
  --output=FORMAT      table or json (one answer a line). [default: table]
  --command-id=ID      Id of the one change in the text, to resend it after a lost answer.
  --expect-version=N   Run the one change only if N is the current configuration version.
  --no-wait            Do not wait until a change is in force.
  --timeout=S          Seconds for each statement. [default: 30]
  --file=FILE          Read statements from a file; - reads them from standard input.

The exit status is 0 for success, 1 failed, 2 wrong usage, 3 refused and not run, 4 outcome unknown,
5 bad input. Statements are described in language.md.
)";

constexpr int usageErrorStatus = 2;
constexpr double maxTimeoutSeconds = 86400;

/** Thrown for errors in the arguments that docopt does not detect; caught by main(). */
struct UsageError {
    std::string m_text;
};

std::string readText(const Arguments& arguments)
{
    if (const auto& words = arguments.at("STATEMENT"); words && !words.asStringList().empty()) {
        std::string text;
        for (const std::string& word : words.asStringList())
            text += (text.empty() ? "" : " ") + word;
        return text;
    }
    std::ostringstream text;
    if (!arguments.at("--file")) {
        text << std::cin.rdbuf();
        return text.str();
    }
    const std::string name = arguments.at("--file").asString();
    std::ifstream file(name);
    if (!file)
        throw UsageError { "cannot read '" + name + "'" };
    text << file.rdbuf();
    return text.str();
}

ctl::RunOptions readOptions(const Arguments& arguments)
{
    ctl::RunOptions options;
    options.m_servers = arguments.at("--server").asStringList();
    options.m_wait = !arguments.at("--no-wait").asBool();
    if (arguments.at("--command-id"))
        options.m_commandId = arguments.at("--command-id").asString();
    try {
        const std::string text = arguments.at("--timeout").asString();
        std::size_t end = 0;
        const double seconds = std::stod(text, &end);
        if (end != text.size() || !(seconds > 0 && seconds <= maxTimeoutSeconds))
            throw UsageError { "--timeout must be a number of seconds up to 86400; found '" + text + "'" };
        options.m_timeout = Milliseconds(std::llround(seconds * 1000));
        if (arguments.at("--expect-version")) {
            const std::string version = arguments.at("--expect-version").asString();
            if (version.empty() || version.find_first_not_of("0123456789") != std::string::npos)
                throw UsageError { "--expect-version must be a whole number; found '" + version + "'" };
            options.m_expectedVersion = std::stoull(version);
        }
    } catch (const std::logic_error&) {
        throw UsageError { "--timeout and --expect-version must be numbers" };
    }
    return options;
}

void print(const ctl::Answer& answer, bool asJson)
{
    const std::string text = asJson
        ? answer.m_body.dump(-1, ' ', false, nlohmann::ordered_json::error_handler_t::replace) + "\n"
        : ctl::printAnswer(answer.m_body);
    std::fputs(text.c_str(), !asJson && answer.m_code != 0 ? stderr : stdout);
    std::fflush(stdout);
}

int run(const Arguments& arguments)
{
    const std::string output = arguments.at("--output").asString();
    if (output != "table" && output != "json")
        throw UsageError { "--output must be table or json; found '" + output + "'" };
    const ctl::RunOptions options = readOptions(arguments);
    Reason reason;
    const auto statements = parseStatements(readText(arguments), reason);
    if (!statements || statements->empty()) {
        if (statements)
            reason = { ResultCode::SyntaxError, "expected a statement; found none" };
        const ctl::Answer answer = ctl::localAnswer(reason.m_code, reason.m_text);
        print(answer, output == "json");
        return ctl::exitStatus(answer.m_code);
    }
    const auto changes = std::count_if(statements->begin(), statements->end(), changesConfiguration);
    if ((options.m_commandId || options.m_expectedVersion) && changes != 1)
        throw UsageError { "--command-id and --expect-version need a text with exactly one change" };
    ctl::StatementRunner runner(options);
    for (const Statement& statement : *statements) {
        const ctl::Answer answer = runner.run(statement);
        print(answer, output == "json");
        if (answer.m_code != 0)
            return ctl::exitStatus(answer.m_code);
    }
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(docopt::docopt_parse(usage, { argv + 1, argv + argc }, true, true));
    } catch (const docopt::DocoptExitHelp&) {
        std::fputs(usage, stdout);
        return 0;
    } catch (const docopt::DocoptExitVersion&) {
        std::puts("flamingoctl " FLAMINGO_VERSION);
        return 0;
    } catch (const docopt::DocoptArgumentError& error) {
        std::fprintf(stderr, "flamingoctl: %s\n\n%s", error.what(), usage);
    } catch (const UsageError& error) {
        std::fprintf(stderr, "flamingoctl: %s\n", error.m_text.c_str());
    } catch (const std::exception& error) {
        std::fprintf(stderr, "flamingoctl: %s\n", error.what());
        return ctl::exitStatus(static_cast<int>(ResultCode::InternalError));
    }
    return usageErrorStatus;
}
