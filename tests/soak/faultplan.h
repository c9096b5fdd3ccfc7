#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace flamingo::test {

/** What is done to a process or a link from outside. */
enum class FaultKind {
    KillVm, // SIGKILL; started again at the end
    TerminateVm, // SIGTERM; started again once it has ended
    PauseVm, // SIGSTOP until the end
    ReloadVm, // SIGHUP
    WipeVm, // a control VM is killed and its disk is lost; started again at the end
    KillEndpoint, // SIGKILL; started again at the end
    PauseEndpoint, // SIGSTOP until the end
    SilenceLinks, // links to a control VM carry nothing until the end
    CutLinksOneWay, // what a control VM answers is lost until the end
    DelayLinks, // links to a control VM are slow until the end
    ResetLinks, // links to a control VM are closed once
};

/** One fault of a soak. */
struct Fault {
    FaultKind m_kind = FaultKind::KillVm;
    int m_target = 0; // number of the VM, or index of the endpoint process
    std::chrono::milliseconds m_at { 0 }; // since the start of the load
    std::chrono::milliseconds m_end { 0 };
};

/** What the faults of a plan may hit. */
struct FaultTargets {
    int m_vms = 0; // numbered from 1; the first ones have the control role
    int m_controlVms = 0;
    int m_endpoints = 0;
};

/**
 * Returns the faults of a seed in the order of their times, always the same for the same arguments.
 *
 * Faults follow each other and overlap. One control VM at most loses its disk, since acknowledged changes have to
 * survive that.
 */
std::vector<Fault> planFaults(std::uint64_t seed, const FaultTargets& targets, std::chrono::milliseconds length);

/** Returns the fault for people. */
std::string describe(const Fault& fault);

} // namespace flamingo::test
