#pragma once

#include <chrono>
#include <cstdint>

namespace flamingo::test {

/** Size and length of one soak. */
struct SoakSettings {
    std::uint64_t m_seed = 1;
    std::chrono::milliseconds m_length { 10000 };
    int m_vms = 5;
    int m_endpoints = 4;
};

/**
 * Runs daemons and endpoints as separate processes under the faults of the seed, and checks meanwhile and afterwards:
 * non-idempotent requests ran at most once and outcomes were told truly, no change that was in force was missing in a
 * later read, no process ended by itself, and all VMs serve again.
 *
 * Prints what it finds and returns whether all held; the logs of a run that failed are kept.
 */
bool runSoak(const SoakSettings& settings);

} // namespace flamingo::test
