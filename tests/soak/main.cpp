#include "soak/soak.h"

#include <docopt/docopt.h>

#include <cstdio>
#include <exception>
#include <map>
#include <string>
#include <vector>

using namespace flamingo::test;

namespace {

constexpr char usage[] = R"(Fault soak: real processes under random faults, promises checked from outside.

Usage:
  fault_soak [--seed=N] [--runs=N] [--seconds=N] [--vms=N] [--endpoints=N]

Options:
  --seed=N       First seed [default: 1].
  --runs=N       Number of seeds, one after another [default: 1].
  --seconds=N    Length of the load of each run [default: 10].
  --vms=N        Entry VMs, three of them with the control role [default: 5].
  --endpoints=N  Endpoint processes [default: 4].
)";

bool runOne(const SoakSettings& settings)
{
    try {
        return runSoak(settings);
    } catch (const std::exception& error) {
        std::printf("seed %llu: BROKEN: %s\n", static_cast<unsigned long long>(settings.m_seed), error.what());
        return false;
    }
}

} // namespace

int main(int argc, char** argv)
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    SoakSettings settings;
    settings.m_length = std::chrono::seconds(arguments["--seconds"].asLong());
    settings.m_vms = static_cast<int>(arguments["--vms"].asLong());
    settings.m_endpoints = static_cast<int>(arguments["--endpoints"].asLong());
    const long first = arguments["--seed"].asLong();
    std::vector<long> broken;
    for (long seed = first; seed < first + arguments["--runs"].asLong(); ++seed) {
        settings.m_seed = static_cast<std::uint64_t>(seed);
        if (!runOne(settings))
            broken.push_back(seed);
    }
    for (const long seed : broken)
        std::printf("broken: --seed=%ld\n", seed);
    return broken.empty() ? 0 : 1;
}
