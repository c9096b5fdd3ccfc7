#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace flamingo::test {

/** Kind of fault injected into a process or into the links to a control VM. */
enum class FaultKind {
    KillVm, // SIGKILL; started again at the end
    TerminateVm, // SIGTERM; started again at the end, once it has exited
    PauseVm, // SIGSTOP until the end
    ReloadVm, // SIGHUP
    WipeVm, // a control VM is killed and its data folder removed; started again at the end
    KillEndpoint, // SIGKILL; started again at the end
    PauseEndpoint, // SIGSTOP until the end
    SilenceLinks, // nothing is forwarded on the links to a control VM until the end
    CutLinksOneWay, // what a control VM sends on its links is dropped until the end
    DelayLinks, // data on the links to a control VM is delayed until the end
    ResetLinks, // links to a control VM are closed once
};

/** One fault of a soak test. */
struct Fault {
    FaultKind m_kind = FaultKind::KillVm;
    int m_target = 0; // number of the VM, or index of the endpoint process
    std::chrono::milliseconds m_at { 0 }; // start of the fault, since the start of the load
    std::chrono::milliseconds m_end { 0 }; // end of the fault, since the start of the load
};

/** Number of VMs and endpoint processes that faults may be injected into. */
struct FaultTargets {
    int m_vms = 0; // numbered from 1; the first ones have the control role
    int m_controlVms = 0;
    int m_endpoints = 0;
};

/**
 * Returns random faults, ordered by their start. The same arguments always give the same faults.
 *
 * Faults may overlap. At most one control VM loses its disk, because acknowledged changes have to survive all faults.
 */
std::vector<Fault> planFaults(std::uint64_t seed, const FaultTargets& targets, std::chrono::milliseconds length);

/** Returns a description of the fault for the printed output. */
std::string describe(const Fault& fault);

} // namespace flamingo::test
