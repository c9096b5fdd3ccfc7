#include "testcluster.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace flamingo;
using namespace flamingo::test;

namespace {

/**
 * Injects one random fault or proposes entries.
 *
 * Empties a data folder only while all members run as voters, so that the other members have the committed entries.
 */
void injectFault(TestCluster& cluster, int& proposals)
{
    const auto count = static_cast<int>(cluster.m_vms.size());
    const int vm = static_cast<int>(cluster.m_random() % cluster.m_vms.size());
    TestVm& chosen = cluster.m_vms[vm];
    switch (cluster.m_random() % 12) {
    case 0:
        if (chosen.m_member)
            cluster.crash(vm);
        break;
    case 1:
        // The storage fails at a later write or sync, as with a full disk or a power failure during a write.
        if (chosen.m_member)
            chosen.m_disk->m_callsUntilFailure = static_cast<int>(cluster.m_random() % 20);
        break;
    case 2:
        if (count > 1 && cluster.membershipComplete()
            && std::all_of(cluster.m_vms.begin(), cluster.m_vms.end(),
                [](const TestVm& other) { return other.m_member && !other.m_member->failed(); })) {
            cluster.crashAndLoseDisk(vm);
            cluster.start(vm);
        }
        break;
    case 3:
        cluster.heal();
        cluster.isolate(vm);
        break;
    case 4:
        cluster.heal();
        cluster.partition({ vm, (vm + 1) % count });
        break;
    case 5:
        chosen.m_suspended = !chosen.m_suspended;
        break;
    case 6:
    case 7:
        cluster.heal();
        for (int i = 0; i < count; ++i) {
            TestVm& other = cluster.m_vms[i];
            if (other.m_member && other.m_member->failed())
                cluster.crash(i);
        }
        cluster.startAll();
        break;
    default:
        for (int i = 0; i < count; ++i) {
            // Proposes at all members, because a deposed leader may not know yet that it is no longer the leader.
            TestVm& other = cluster.m_vms[i];
            for (std::uint64_t n = 0; other.m_member && !other.m_suspended && n < 1 + cluster.m_random() % 8; ++n)
                other.m_member->propose("e" + std::to_string(proposals++), cluster.m_now);
        }
    }
    cluster.run(Milliseconds(static_cast<std::int64_t>(10 + cluster.m_random() % 1500)));
}

void runSchedule(std::uint64_t seed, int vms, int steps)
{
    TestCluster cluster(vms, seed);
    cluster.m_lossPercent = static_cast<int>(seed % 10);
    cluster.m_duplicatePercent = static_cast<int>(seed % 7);
    cluster.m_maxDelay = Milliseconds(1 + static_cast<std::int64_t>(seed % 120));
    cluster.m_snapshotInterval = 5 + seed % 30;
    cluster.m_options.m_trailingEntries = seed % 10;
    cluster.m_options.m_maxUnackedEntries = 1 + seed % 20;
    cluster.m_options.m_snapshotChunkBytes = 40;
    cluster.startAll();
    cluster.awaitLeader();
    int proposals = 0;
    for (int i = 0; i < steps && cluster.m_violation.empty(); ++i)
        injectFault(cluster, proposals);

    const std::uint64_t committed = cluster.maxApplied();
    cluster.heal();
    cluster.m_lossPercent = 0;
    for (int i = 0; i < vms; ++i) {
        if (cluster.m_vms[i].m_member && cluster.m_vms[i].m_member->failed())
            cluster.crash(i);
        cluster.m_vms[i].m_disk->m_callsUntilFailure = -1;
    }
    cluster.startAll();
    const bool membershipComplete
        = cluster.runUntil([&] { return cluster.membershipComplete() && cluster.converged(); }, Milliseconds(60'000));
    if (!cluster.m_violation.empty())
        RC_FAIL(cluster.m_violation);
    RC_ASSERT(membershipComplete);
    const auto& applied = cluster.m_vms[cluster.leader()].m_applied;
    if (committed > 0)
        RC_ASSERT(!applied.empty() && applied.back().first >= committed);
    // The leader may change at this moment, so the first attempts may fail.
    RC_ASSERT(cluster.runUntil([&] { return cluster.proposeAndAwait("last"); }));
}

} // namespace

// Guards against sequences of crashes, lost disks, partitions, suspended processes and storage errors after which
// members have different entries, lose a committed entry or do not elect a leader.
TEST_CASE("The cluster recovers from random sequences of faults without losing entries")
{
    rc::prop("three members", [](std::uint64_t seed) { runSchedule(seed, 3, 60); });
    rc::prop("five members", [](std::uint64_t seed) { runSchedule(seed, 5, 40); });
    rc::prop("a single member", [](std::uint64_t seed) { runSchedule(seed, 1, 30); });
}
