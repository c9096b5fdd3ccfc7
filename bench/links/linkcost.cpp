#include "daemon/controllink.h"

#include <boost/asio/io_context.hpp>
#include <docopt/docopt.h>

#include <unistd.h>

#include <cstdio>
#include <fstream>
#include <sstream>

namespace {

using namespace flamingo;

constexpr const char* usage = R"(Measures the processor time and memory that links of entry VMs cost a control VM.

Usage:
  link_cost --control=ADDRESS --pid=PID --links=COUNT [--seconds=S]

Options:
  --control=ADDRESS  Address and port for the links of the control VM.
  --pid=PID          Process id of the daemon on the control VM.
  --links=COUNT      Number of links to open, each with a lease that it renews.
  --seconds=S        Length of the measurement in seconds [default: 10].
)";

constexpr std::chrono::seconds settleTime { 10 }; // until the VMs are admitted and have their full copies
constexpr Milliseconds tickInterval { 50 };

struct ProcessUsage {
    double m_cpuSeconds = 0.0;
    long m_residentKilobytes = 0;
};

ProcessUsage readProcessUsage(long pid)
{
    ProcessUsage result;
    std::ifstream stat("/proc/" + std::to_string(pid) + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), {});
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int field = 3; field < 14; ++field)
        fields >> skipped;
    long user = 0;
    long system = 0;
    fields >> user >> system;
    result.m_cpuSeconds = double(user + system) / double(sysconf(_SC_CLK_TCK));
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("VmRSS:", 0) == 0)
            result.m_residentKilobytes = std::stol(line.substr(6));
    }
    return result;
}

void runFor(boost::asio::io_context& io, std::vector<std::unique_ptr<ControlLink>>& links, std::chrono::seconds time)
{
    const auto end = monotonicNow() + time;
    while (monotonicNow() < end) {
        for (const auto& link : links)
            link->tick(monotonicNow());
        io.run_for(tickInterval);
        io.restart();
    }
}

} // namespace

int main(int argc, char** argv)
{
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc }, true);
    const long pid = arguments["--pid"].asLong();
    const long count = arguments["--links"].asLong();
    const std::chrono::seconds duration(arguments["--seconds"].asLong());
    boost::asio::io_context io(1);
    std::vector<std::unique_ptr<ControlLink>> links;
    for (long i = 0; i < count; ++i) {
        ControlClientSettings settings;
        settings.m_vm = VmId("bench" + std::to_string(i));
        settings.m_incarnation = Incarnation(std::uint64_t(i) + 1);
        settings.m_dataCentre = DataCentreName("bench");
        settings.m_address = "127.0.0.1:1";
        settings.m_controlAddresses = { arguments["--control"].asString() };
        links.push_back(std::make_unique<ControlLink>(io, settings, [](const auto&, const auto*) {}));
    }
    runFor(io, links, settleTime);
    const ProcessUsage before = readProcessUsage(pid);
    runFor(io, links, duration);
    const ProcessUsage after = readProcessUsage(pid);
    long serving = 0;
    for (const auto& link : links)
        serving += link->client().mayServe(monotonicNow()) ? 1 : 0;
    const double cpuFraction = (after.m_cpuSeconds - before.m_cpuSeconds) / double(duration.count());
    std::printf("links,serving,cpu_fraction,resident_kb\n%ld,%ld,%.4f,%ld\n", count, serving, cpuFraction,
        after.m_residentKilobytes);
    return 0;
}
