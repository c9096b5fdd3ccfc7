#include "testcluster.h"

#include <catch2/catch.hpp>

using namespace flamingo;
using namespace flamingo::test;

// Guards against a sync for each proposal, which limits a slow disk to some tens of changes per second.
TEST_CASE("Proposals made before a flush are written with one sync")
{
    TestCluster cluster(3, 4);
    cluster.m_batching = true;
    cluster.startAll();
    REQUIRE(cluster.awaitLeader());
    const TestVm& leader = cluster.m_vms[cluster.leader()];
    const int before = leader.m_disk->m_syncs;
    std::optional<LogIndex> last;
    for (int i = 0; i < 50; ++i)
        last = leader.m_member->propose("entry" + std::to_string(i), cluster.m_now);
    leader.m_member->flush(cluster.m_now);
    REQUIRE(leader.m_disk->m_syncs == before + 1);
    REQUIRE(cluster.runUntil([&] { return cluster.converged(); }));
    for (const TestVm& vm : cluster.m_vms) {
        REQUIRE(vm.m_applied.size() == 50);
        REQUIRE(vm.m_applied.back().first == last->value());
    }
    REQUIRE(cluster.m_violation.empty());
}

// Guards against a leader that loses its followers because it writes a large snapshot too often. This happened to a
// leader with many claims on a machine under load.
TEST_CASE("The cost of snapshots is proportional to the size of the entries, not to that of the state")
{
    TestCluster cluster(1, 5);
    cluster.m_snapshotInterval = 8;
    cluster.startAll();
    REQUIRE(cluster.awaitLeader());
    std::uint64_t entryBytes = 0;
    for (int i = 0; i < 2000; ++i) {
        const std::string entry = "entry" + std::to_string(i) + std::string(500, 'x');
        entryBytes += entry.size();
        REQUIRE(cluster.proposeAndAwait(entry));
    }
    REQUIRE(cluster.m_snapshotBytes > entryBytes);
    // Each entry adds to the state, so each snapshot is about twice as large as the previous one.
    REQUIRE(cluster.m_snapshotBytes < 10 * entryBytes);
}

// Guards against entries that are lost or reordered while members are unreachable, and against replays of the whole log
// after a restart.
TEST_CASE("Entries are replicated to all members")
{
    TestCluster cluster(3, 3);
    cluster.startAll();
    REQUIRE(cluster.awaitLeader());
    const int first = cluster.leader();
    const int other = (first + 1) % 3;

    SECTION("a member that was unreachable for a short time catches up from the log")
    {
        cluster.isolate(other);
        for (int i = 0; i < 100; ++i)
            REQUIRE(cluster.proposeAndAwait("entry" + std::to_string(i)));
        REQUIRE(cluster.m_vms[other].m_applied.empty());
        cluster.heal();
        REQUIRE(cluster.runUntil([&] { return cluster.converged(); }));
        REQUIRE(cluster.m_vms[other].m_member->raft().m_log.m_snapshot.m_index == LogIndex(0));
    }

    SECTION("a member that was stopped for a long time receives a snapshot in chunks")
    {
        cluster.m_options.m_snapshotChunkBytes = 100;
        cluster.crash(first);
        cluster.start(first);
        cluster.crash(other);
        cluster.crash((first + 2) % 3);
        cluster.start((first + 2) % 3);
        REQUIRE(cluster.awaitLeader());
        for (int i = 0; i < 700; ++i)
            REQUIRE(cluster.proposeAndAwait("entry" + std::to_string(i)));
        cluster.start(other);
        REQUIRE(cluster.runUntil([&] { return cluster.converged(); }));
        REQUIRE(cluster.m_vms[other].m_member->raft().m_log.m_snapshot.m_index >= LogIndex(512));
        REQUIRE(cluster.m_vms[other].m_appliedSinceStart < 300);
        REQUIRE(cluster.m_vms[other].m_applied.size() == 700);
    }

    SECTION("after a restart only the entries after the snapshot are replayed")
    {
        for (int i = 0; i < 600; ++i)
            REQUIRE(cluster.proposeAndAwait("entry" + std::to_string(i)));
        for (int vm = 0; vm < 3; ++vm) {
            cluster.crash(vm);
            cluster.start(vm);
        }
        REQUIRE(cluster.awaitLeader());
        REQUIRE(cluster.runUntil([&] { return cluster.converged(); }));
        for (const TestVm& vm : cluster.m_vms) {
            REQUIRE(vm.m_applied.size() == 600);
            REQUIRE(vm.m_appliedSinceStart < 256);
        }
    }

    SECTION("the uncommitted entries of a deposed leader are replaced")
    {
        REQUIRE(cluster.proposeAndAwait("shared"));
        cluster.isolate(first);
        for (int i = 0; i < 10; ++i)
            cluster.m_vms[first].m_member->propose("lost" + std::to_string(i), cluster.m_now);
        cluster.run(Milliseconds(1000));
        REQUIRE(cluster.awaitLeader());
        for (int i = 0; i < 5; ++i)
            REQUIRE(cluster.proposeAndAwait("kept" + std::to_string(i)));
        cluster.heal();
        REQUIRE(cluster.runUntil([&] { return cluster.converged(); }));
        REQUIRE(cluster.m_vms[first].m_applied.size() == 6);
        REQUIRE(cluster.m_vms[first].m_applied.back().second == "kept4");
    }

    SECTION("a leader without a majority refuses entries above its limits")
    {
        cluster.isolate(first);
        ConsensusMember& leader = *cluster.m_vms[first].m_member;
        int accepted = 0;
        while (leader.propose("entry", cluster.m_now))
            ++accepted;
        REQUIRE(accepted <= 8192);
        REQUIRE(leader.lastReason().m_code == ResultCode::Overloaded);
        REQUIRE_FALSE(leader.propose(std::string(5U << 20U, 'x'), cluster.m_now));
        REQUIRE(leader.lastReason().m_code == ResultCode::BodyTooLarge);
    }

    SECTION("large entries are replicated over a lossy network")
    {
        cluster.m_lossPercent = 20;
        cluster.m_duplicatePercent = 20;
        cluster.m_maxDelay = Milliseconds(60);
        for (int i = 0; i < 20; ++i) {
            REQUIRE(cluster.awaitLeader());
            cluster.propose(std::string(300'000, static_cast<char>('a' + i)));
            cluster.run(Milliseconds(100));
        }
        cluster.m_lossPercent = 0;
        REQUIRE(cluster.runUntil([&] { return cluster.converged(); }));
    }
    REQUIRE(cluster.m_violation.empty());
}
