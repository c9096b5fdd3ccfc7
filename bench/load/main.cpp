#include "endpoint/scenario.h"
#include "load/baselinerun.h"
#include "load/daemonrun.h"
#include "load/report.h"

#include <docopt/docopt.h>

#include <cstdio>
#include <exception>
#include <fstream>
#include <iterator>
#include <sstream>
#include <unistd.h>

namespace {

using namespace flamingo; // NOLINT(google-build-using-namespace): a program's own file
using namespace flamingo::bench; // NOLINT(google-build-using-namespace)

constexpr const char* usage
    = R"(Open-loop load generator for running daemons: Poisson arrivals, latency counted from the intended send time.

Usage:
  load_tool --service=NAME [options] [DAEMON...]
  load_tool --help

Options:
  --service=NAME      Service to query.
  --rate=N            Queries per second over all daemons [default: 100].
  --seconds=S         Length of each run in seconds, at most 30 [default: 5].
  --warmup=S          Seconds at the start of each run that are left out of the report [default: 1].
  --seed=N            Seed of arrivals, texts and the replicas of the baseline [default: 1].
  --texts=N           Distinct query texts [default: 50].
  --deadline-ms=N     Deadline of a query in milliseconds [default: 500].
  --baseline=FILE     Also run the baseline, a naive fan-out to the endpoints in this scenario file.
  --pids=LIST         Processes (comma-separated) whose processor time per endpoint request is printed.
  --csv=FILE          Write one CSV line for each query.
  --svg=FILE          Write a plot of latency over quantile.
)";

/** Returns the processor time in seconds that the processes have used since their start. */
double processorSeconds(const std::string& pids)
{
    double ticks = 0;
    std::istringstream list(pids);
    for (std::string pid; std::getline(list, pid, ',');) {
        std::ifstream file("/proc/" + pid + "/stat");
        std::string line;
        std::getline(file, line);
        // Fields 14 and 15 are user and system time; the name in field 2 can contain spaces.
        std::istringstream fields(line.substr(std::min(line.size(), line.rfind(')') + 2)));
        std::string skipped;
        for (int field = 3; field < 14; ++field)
            fields >> skipped;
        double user = 0;
        double system = 0;
        fields >> user >> system;
        ticks += user + system;
    }
    return ticks / double(sysconf(_SC_CLK_TCK));
}

Scenario loadScenario(const std::string& name)
{
    std::ifstream file(name);
    std::string error = "cannot read the scenario file";
    const auto scenario
        = file ? readScenario({ std::istreambuf_iterator<char>(file), {} }, error) : std::optional<Scenario>();
    if (!scenario)
        throw std::runtime_error(name + ": " + error);
    return *scenario;
}

int run(std::map<std::string, docopt::value>& arguments)
{
    const auto number = [&](const char* option) { return std::stod(arguments[option].asString()); };
    const auto microseconds = [&](const char* option) { return Microseconds(Microseconds::rep(number(option) * 1e6)); };
    constexpr double maxSeconds = 30;
    if (number("--seconds") > maxSeconds || number("--rate") <= 0 || number("--texts") < 1)
        throw std::runtime_error("--seconds must be at most 30, --rate above 0 and --texts at least 1");
    const auto plan = planQueries(
        number("--rate"), microseconds("--seconds"), std::uint64_t(number("--seed")), std::uint32_t(number("--texts")));
    DaemonRunSettings settings;
    settings.m_daemons = arguments["DAEMON"].asStringList();
    settings.m_service = arguments["--service"].asString();
    settings.m_deadline = Milliseconds(Milliseconds::rep(number("--deadline-ms")));
    std::vector<NamedRun> runs;
    if (!settings.m_daemons.empty()) {
        const std::string pids = arguments["--pids"] ? arguments["--pids"].asString() : "";
        const double before = processorSeconds(pids);
        runs.emplace_back("policy", runAgainstDaemons(settings, plan));
        const double used = processorSeconds(pids) - before;
        printReport(runs.back(), microseconds("--warmup"), microseconds("--seconds"));
        std::uint64_t requests = 0;
        for (const Measurement& measurement : runs.back().second)
            requests += measurement.m_endpointRequests;
        if (!pids.empty() && requests > 0)
            std::printf("processor time: %.2f s for %llu endpoint requests, %.1f us each\n", used,
                static_cast<unsigned long long>(requests), used * 1e6 / double(requests));
    }
    if (arguments["--baseline"]) {
        const Scenario scenario = loadScenario(arguments["--baseline"].asString());
        runs.emplace_back("baseline", runBaseline(scenario, settings.m_service, settings.m_deadline, plan));
        printReport(runs.back(), microseconds("--warmup"), microseconds("--seconds"));
    }
    bool written = true;
    if (arguments["--csv"])
        written = writeCsv(arguments["--csv"].asString(), runs);
    if (arguments["--svg"])
        written = writeSvg(arguments["--svg"].asString(), runs, microseconds("--warmup")) && written;
    if (!written)
        throw std::runtime_error("cannot write the file of --csv or --svg");
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc }, true);
    try {
        return run(arguments);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "load_tool: %s\n", error.what());
        return 2;
    }
}
