#include "soak/soak.h"

#include <docopt/docopt.h>

#include <cstdio>
#include <exception>
#include <map>
#include <string>
#include <vector>

using namespace flamingo::test;

namespace {

constexpr char usage[]
    = R"(Fault soak: runs real processes under random faults and checks their guarantees from outside.

Usage:
  fault_soak [--seed=N] [--runs=N] [--seconds=N] [--vms=N] [--endpoints=N]

Options:
  --seed=N       First seed [default: 1].
  --runs=N       Number of runs, each with the next seed [default: 1].
  --seconds=N    Duration of the load of each run [default: 10].
  --vms=N        Number of entry VMs, three of them with the control role [default: 5].
  --endpoints=N  Number of endpoint processes [default: 4].
)";

/** Runs one soak; returns false if a guarantee was violated or an exception was thrown. */
bool runSeed(const SoakSettings& settings)
{
    try {
        return runSoak(settings);
    } catch (const std::exception& error) {
        std::printf("seed %llu: FAILED: %s\n", static_cast<unsigned long long>(settings.m_seed), error.what());
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
    std::vector<long> failedSeeds;
    for (long seed = first; seed < first + arguments["--runs"].asLong(); ++seed) {
        settings.m_seed = static_cast<std::uint64_t>(seed);
        if (!runSeed(settings))
            failedSeeds.push_back(seed);
    }
    for (const long seed : failedSeeds)
        std::printf("failed: --seed=%ld\n", seed);
    return failedSeeds.empty() ? 0 : 1;
}
