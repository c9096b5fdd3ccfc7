#pragma once

#include <chrono>
#include <cstdint>

namespace flamingo::test {

/** Seed, duration and size of one soak run. */
struct SoakSettings {
    std::uint64_t m_seed = 1;
    std::chrono::milliseconds m_length { 10000 }; // duration of the load
    int m_vms = 5; // number of entry VMs, including the control VMs
    int m_endpoints = 4; // number of endpoint processes
};

/**
 * Runs daemons and endpoints as separate processes, injects the faults of the seed and checks the guarantees during the
 * load and after it: non-idempotent requests are executed at most once, their reported outcomes are true, no change
 * that was in force is missing in a later read, no process exits without a fault, and all VMs serve again after the
 * faults.
 *
 * Prints each violation and returns whether there was none. The logs of a failed run are kept.
 */
bool runSoak(const SoakSettings& settings);

} // namespace flamingo::test
