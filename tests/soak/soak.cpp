#include "soak/soak.h"

#include "process/requestload.h"
#include "soak/configurationload.h"
#include "soak/faultplan.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <map>
#include <thread>
#include <utility>

namespace flamingo::test {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr milliseconds linkDelay { 150 };

/** Applies faults to the processes of a tier and ends them. Overlapping faults of one target end with the last one. */
class FaultInjector {
public:
    explicit FaultInjector(Tier& tier)
        : m_tier(tier)
    {
    }

    void begin(const Fault& fault)
    {
        std::printf("  %s\n", describe(fault).c_str());
        const int target = fault.m_target;
        switch (fault.m_kind) {
        case FaultKind::KillVm:
            return end(m_tier.vm(target), m_downVms[target]);
        case FaultKind::WipeVm:
            end(m_tier.vm(target), m_downVms[target]);
            std::filesystem::remove_all(m_tier.dataFolder(target));
            return;
        case FaultKind::TerminateVm:
            if (!std::exchange(m_downVms[target], true))
                m_tier.vm(target).signal(SIGTERM);
            return;
        case FaultKind::PauseVm:
            return m_tier.vm(target).signal(SIGSTOP);
        case FaultKind::ReloadVm:
            return m_tier.vm(target).signal(SIGHUP);
        case FaultKind::KillEndpoint:
            return end(stub(target), m_downStubs[target]);
        case FaultKind::PauseEndpoint:
            return stub(target).signal(SIGSTOP);
        case FaultKind::SilenceLinks:
            return m_tier.linkRelay(target).setSilent(true);
        case FaultKind::CutLinksOneWay:
            return m_tier.linkRelay(target).setOneWay(true);
        case FaultKind::DelayLinks:
            return m_tier.linkRelay(target).setDelay(linkDelay);
        case FaultKind::ResetLinks:
            return m_tier.linkRelay(target).closeConnections();
        }
    }

    /** Returns false if a process that was told to end does not. */
    bool end(const Fault& fault)
    {
        const int target = fault.m_target;
        switch (fault.m_kind) {
        case FaultKind::KillVm:
        case FaultKind::WipeVm:
        case FaultKind::TerminateVm:
            return startVm(target);
        case FaultKind::PauseVm:
            m_tier.vm(target).signal(SIGCONT);
            return true;
        case FaultKind::KillEndpoint:
            if (std::exchange(m_downStubs[target], false))
                m_tier.restartStub(static_cast<std::size_t>(target));
            return true;
        case FaultKind::PauseEndpoint:
            stub(target).signal(SIGCONT);
            return true;
        case FaultKind::SilenceLinks:
        case FaultKind::CutLinksOneWay:
        case FaultKind::DelayLinks:
            heal(m_tier.linkRelay(target));
            return true;
        case FaultKind::ReloadVm:
        case FaultKind::ResetLinks:
            return true;
        }
        return true;
    }

    /** Returns the processes that have ended although no fault ended them. */
    std::vector<std::string> endedByThemselves()
    {
        std::vector<std::string> names;
        for (int vm = 1; vm <= m_tier.vmCount(); ++vm) {
            if (!m_downVms[vm] && !m_tier.vm(vm).isRunning())
                names.push_back("vm" + std::to_string(vm));
        }
        for (int index = 0; index < static_cast<int>(m_tier.stubCount()); ++index) {
            if (!m_downStubs[index] && !stub(index).isRunning())
                names.push_back("stub" + std::to_string(index));
        }
        return names;
    }

private:
    ChildProcess& stub(int index) { return m_tier.stub(static_cast<std::size_t>(index)); }

    static void end(ChildProcess& process, bool& down)
    {
        if (!std::exchange(down, true))
            process.kill();
    }

    static void heal(FaultRelay& relay)
    {
        relay.setSilent(false);
        relay.setOneWay(false);
        relay.setDelay(milliseconds(0));
    }

    bool startVm(int number)
    {
        if (!std::exchange(m_downVms[number], false))
            return true;
        // A process that was told to end may be paused by another fault.
        m_tier.vm(number).signal(SIGCONT);
        if (!m_tier.vm(number).waitForEnd(hangLimit)) {
            std::printf("vm%d does not end after SIGTERM\n", number);
            m_tier.vm(number).kill();
            m_tier.startVm(number);
            return false;
        }
        m_tier.startVm(number);
        return true;
    }

    Tier& m_tier;
    std::map<int, bool> m_downVms;
    std::map<int, bool> m_downStubs;
};

struct Step {
    milliseconds m_at;
    bool m_begins;
    Fault m_fault;
};

std::vector<Step> stepsOf(const std::vector<Fault>& faults)
{
    std::vector<Step> steps;
    for (const Fault& fault : faults) {
        steps.push_back({ fault.m_at, true, fault });
        steps.push_back({ fault.m_end, false, fault });
    }
    std::stable_sort(steps.begin(), steps.end(), [](const Step& a, const Step& b) { return a.m_at < b.m_at; });
    return steps;
}

bool expect(bool holds, const char* promise)
{
    if (!holds)
        std::printf("BROKEN: %s\n", promise);
    return holds;
}

} // namespace

bool runSoak(const SoakSettings& settings)
{
    Tier tier(settings.m_vms, Tier::Links::Relayed);
    RequestLoad::createOrders(tier, settings.m_endpoints);
    const FaultTargets targets { settings.m_vms, Tier::controlVms, settings.m_endpoints };
    const std::vector<Step> steps = stepsOf(planFaults(settings.m_seed, targets, settings.m_length));
    FaultInjector injector(tier);
    bool held = true;

    RequestLoad requests(tier);
    ConfigurationLoad configuration(tier, settings.m_seed);
    const auto start = Clock::now();
    for (const Step& step : steps) {
        std::this_thread::sleep_until(start + step.m_at);
        for (const std::string& name : injector.endedByThemselves()) {
            std::printf("%s has ended by itself\n", name.c_str());
            held = expect(false, "no process ends by itself");
        }
        if (step.m_begins)
            injector.begin(step.m_fault);
        else
            held = expect(injector.end(step.m_fault), "SIGTERM ends a VM") && held;
    }
    for (int vm = 1; vm <= settings.m_vms; ++vm)
        Tier::waitFor("all VMs to serve", [&] { return tier.isServing(vm); });
    configuration.stop();
    requests.stop();

    held = expect(requests.sendFinally(settings.m_vms).empty(), "each request gets a final outcome") && held;
    const RequestVerdict verdict = requests.verdict();
    held = expect(verdict.m_repeated == 0, "a non-idempotent request runs at most once") && held;
    held = expect(verdict.m_ranThoughRefused == 0, "a request that is refused as not run has not run") && held;
    held = expect(verdict.m_notRecorded == 0, "an outcome that was told stays") && held;
    held = expect(verdict.m_differing == 0, "a request has one answer") && held;
    held = expect(configuration.staleReads() == 0, "a change in force is in every later read") && held;
    for (int vm = 1; vm <= settings.m_vms; ++vm)
        held = expect(configuration.missingAt(vm).empty(), "a change in force is kept") && held;
    std::printf("seed %llu: %s; %zu faults, %d changes in force, %d reads\n",
        static_cast<unsigned long long>(settings.m_seed), held ? "held" : "BROKEN", steps.size() / 2,
        configuration.changes(), configuration.reads());
    if (!held)
        tier.keepFolder();
    return held;
}

} // namespace flamingo::test
