#include "soak/faultplan.h"

#include <array>
#include <random>
#include <utility>

namespace flamingo::test {

namespace {

using std::chrono::milliseconds;

constexpr int minGapMs = 100; // between the starts of two faults
constexpr int maxGapMs = 1100;
constexpr int minFaultMs = 50;
constexpr int maxFaultMs = 3000;

/** Name of a kind of fault in the output, and its relative frequency. */
struct FaultKindInfo {
    FaultKind m_kind;
    const char* m_name;
    double m_weight;
};
constexpr std::array<FaultKindInfo, 11> faultKinds { {
    { FaultKind::KillVm, "kill VM", 2.0 },
    { FaultKind::TerminateVm, "terminate VM", 1.0 },
    { FaultKind::PauseVm, "pause VM", 2.0 },
    { FaultKind::ReloadVm, "reload VM", 0.5 },
    { FaultKind::WipeVm, "wipe control VM", 0.5 },
    { FaultKind::KillEndpoint, "kill endpoint", 1.0 },
    { FaultKind::PauseEndpoint, "pause endpoint", 1.0 },
    { FaultKind::SilenceLinks, "silence links to control VM", 1.5 },
    { FaultKind::CutLinksOneWay, "cut links of control VM one way", 1.0 },
    { FaultKind::DelayLinks, "delay links to control VM", 1.0 },
    { FaultKind::ResetLinks, "reset links to control VM", 1.0 },
} };

int targetCount(FaultKind kind, const FaultTargets& targets)
{
    switch (kind) {
    case FaultKind::KillVm:
    case FaultKind::TerminateVm:
    case FaultKind::PauseVm:
    case FaultKind::ReloadVm:
        return targets.m_vms;
    case FaultKind::KillEndpoint:
    case FaultKind::PauseEndpoint:
        return targets.m_endpoints;
    default:
        return targets.m_controlVms;
    }
}

bool isEndpointFault(FaultKind kind) { return kind == FaultKind::KillEndpoint || kind == FaultKind::PauseEndpoint; }

} // namespace

std::vector<Fault> planFaults(std::uint64_t seed, const FaultTargets& targets, milliseconds length)
{
    std::mt19937_64 random(seed);
    const auto between
        = [&random](int from, int to) { return static_cast<int>(std::uniform_int_distribution<>(from, to)(random)); };
    std::array<double, faultKinds.size()> weights {};
    for (std::size_t index = 0; index < faultKinds.size(); ++index)
        weights.at(index) = faultKinds.at(index).m_weight;
    std::discrete_distribution<std::size_t> kindIndex(weights.begin(), weights.end());
    std::vector<Fault> faults;
    bool wiped = false;
    for (milliseconds at(between(0, maxGapMs)); at < length; at += milliseconds(between(minGapMs, maxGapMs))) {
        Fault fault;
        fault.m_kind = faultKinds.at(kindIndex(random)).m_kind;
        if (fault.m_kind == FaultKind::WipeVm && std::exchange(wiped, true))
            fault.m_kind = FaultKind::KillVm;
        const int target = between(0, targetCount(fault.m_kind, targets) - 1);
        fault.m_target = isEndpointFault(fault.m_kind) ? target : target + 1;
        fault.m_at = at;
        fault.m_end = at + milliseconds(between(minFaultMs, maxFaultMs));
        faults.push_back(fault);
    }
    return faults;
}

std::string describe(const Fault& fault)
{
    std::string text;
    for (const FaultKindInfo& kind : faultKinds) {
        if (kind.m_kind == fault.m_kind)
            text = kind.m_name;
    }
    return std::to_string(fault.m_at.count()) + " to " + std::to_string(fault.m_end.count()) + " ms: " + text + " "
        + std::to_string(fault.m_target);
}

} // namespace flamingo::test
