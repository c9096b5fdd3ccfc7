#include "endpoint/stubprocess.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <docopt/docopt.h>

#include <csignal>
#include <cstdio>
#include <exception>
#include <fstream>
#include <iterator>

namespace {

constexpr const char* usage = R"(Stub endpoint for tests and benchmarks.

Usage:
  stub_endpoint [--only=IDS] [--admin-port=PORT] [--log=FILE] [--daemons=LIST] [--exit-on-crash] SCENARIO
  stub_endpoint --help

Options:
  --only=IDS          Run only these endpoints of the scenario (comma-separated).
  --admin-port=PORT   Port of the /stub/... requests, instead of the one in the scenario; 0 for any free port.
  --log=FILE          Append the id of each executed request to this file.
  --daemons=LIST      Daemons to announce to (comma-separated address:port), instead of those in the scenario.
  --exit-on-crash     End the process when the body of a request contains the crash marker.
)";

std::vector<std::string> split(const std::string& list)
{
    std::vector<std::string> items;
    std::size_t start = 0;
    while (start < list.size()) {
        const std::size_t comma = std::min(list.find(',', start), list.size());
        items.push_back(list.substr(start, comma - start));
        start = comma + 1;
    }
    return items;
}

int run(const flamingo::bench::Scenario& scenario)
{
    boost::asio::io_context context(1);
    flamingo::bench::StubProcess process(context, scenario);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code, int) { process.leave([&context] { context.stop(); }); });
    std::printf("ready: %zu endpoints, admin port %u\n", process.endpoints().size(), unsigned(process.adminPort()));
    std::fflush(stdout);
    context.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc }, true);
    const std::string file = arguments["SCENARIO"].asString();
    std::ifstream input(file);
    if (!input) {
        std::fprintf(stderr, "cannot read scenario file '%s'\n", file.c_str());
        return 2;
    }
    std::string error;
    auto scenario = flamingo::bench::readScenario({ std::istreambuf_iterator<char>(input), {} }, error);
    if (!scenario) {
        std::fprintf(stderr, "%s: %s\n", file.c_str(), error.c_str());
        return 2;
    }
    try {
        if (arguments["--only"])
            flamingo::bench::keepOnly(*scenario, split(arguments["--only"].asString()));
        if (arguments["--admin-port"])
            scenario->m_adminPort = static_cast<std::uint16_t>(arguments["--admin-port"].asLong());
        if (arguments["--log"])
            scenario->m_executionLog = arguments["--log"].asString();
        if (arguments["--daemons"])
            scenario->m_daemons = split(arguments["--daemons"].asString());
        scenario->m_exitOnCrash |= arguments["--exit-on-crash"].asBool();
        return run(*scenario);
    } catch (const std::exception& exception) {
        std::fprintf(stderr, "stub_endpoint: %s\n", exception.what());
        return 1;
    }
}
