#include "testcluster.h"

#include <catch2/catch.hpp>

using namespace flamingo;
using namespace flamingo::test;

// Guards against a second cluster formed by a member whose data folder came back empty.
TEST_CASE("A cluster forms only while all listed members are fresh")
{
    TestCluster cluster(3);
    SECTION("two of three do not form it")
    {
        cluster.start(0);
        cluster.start(1);
        cluster.run(Milliseconds(10'000));
        REQUIRE(cluster.leader() == -1);
        REQUIRE(isFresh(cluster.m_vms[0].m_member->raft()));

        SECTION("the third makes it possible")
        {
            cluster.start(2);
            REQUIRE(cluster.awaitLeader());
            REQUIRE(cluster.runUntil([&] { return cluster.repaired(); }));
        }
    }
    SECTION("emptied members without the cluster's majority do not form a second one")
    {
        cluster.startAll();
        REQUIRE(cluster.awaitLeader());
        REQUIRE(cluster.proposeAndAwait("kept"));
        cluster.run(Milliseconds(1000));
        for (const int emptied : { 0, 1 }) {
            cluster.crashAndLoseDisk(emptied);
            cluster.start(emptied);
        }
        cluster.run(Milliseconds(30'000));
        REQUIRE(cluster.leader() == -1);
        REQUIRE(isFresh(cluster.m_vms[0].m_member->raft()));
        REQUIRE(cluster.m_vms[2].m_applied.size() == 1);
    }
    REQUIRE(cluster.m_violation.empty());
}

// Guards against the loss of committed entries and of the majority while members are replaced.
TEST_CASE("A member with an emptied data folder is replaced")
{
    TestCluster cluster(3, 7);
    cluster.startAll();
    REQUIRE(cluster.awaitLeader());
    for (int i = 0; i < 20; ++i)
        REQUIRE(cluster.proposeAndAwait("entry" + std::to_string(i)));

    for (const bool leaderLost : { false, true }) {
        SECTION(leaderLost ? "the leader is lost" : "a follower is lost")
        {
            const int first = leaderLost ? cluster.leader() : (cluster.leader() + 1) % 3;
            const MemberId lostId = cluster.m_vms[first].m_member->id();
            cluster.crashAndLoseDisk(first);
            cluster.start(first);
            REQUIRE(cluster.m_vms[first].m_member->id() != lostId);
            REQUIRE(cluster.runUntil([&] { return cluster.repaired(); }));
            REQUIRE(cluster.runUntil([&] { return cluster.settled(); }));
            REQUIRE(cluster.m_vms[first].m_applied.size() == 20);

            SECTION("a second one is lost right after")
            {
                const int second = (first + 1) % 3;
                cluster.crashAndLoseDisk(second);
                REQUIRE(cluster.awaitLeader());
                REQUIRE(cluster.proposeAndAwait("between"));
                cluster.start(second);
                REQUIRE(cluster.runUntil([&] { return cluster.repaired(); }));

                SECTION("and the third, so that no member has its first disk")
                {
                    const int third = (first + 2) % 3;
                    cluster.crashAndLoseDisk(third);
                    cluster.start(third);
                    REQUIRE(cluster.runUntil([&] { return cluster.repaired(); }));
                    REQUIRE(cluster.proposeAndAwait("after"));
                    REQUIRE(cluster.runUntil([&] { return cluster.settled(); }));
                    REQUIRE(cluster.m_vms[third].m_applied.size() == 22);
                }
            }
            SECTION("the replaced VM is lost again right after its promotion")
            {
                cluster.crashAndLoseDisk(first);
                REQUIRE(cluster.awaitLeader());
                REQUIRE(cluster.proposeAndAwait("again"));
                cluster.start(first);
                REQUIRE(cluster.runUntil([&] { return cluster.repaired(); }));
            }
        }
    }
    SECTION("the emptied member is lost again while it is a learner")
    {
        const int follower = (cluster.leader() + 1) % 3;
        for (int i = 0; i < 5; ++i) {
            cluster.crashAndLoseDisk(follower);
            cluster.start(follower);
            cluster.run(Milliseconds(700 + 100 * i));
        }
        REQUIRE(cluster.runUntil([&] { return cluster.repaired(); }));
    }
    REQUIRE(cluster.m_violation.empty());
}

// Guards against a learner that waits forever because the entry that added it was replaced by a later leader's.
TEST_CASE("A learner whose addition was not committed joins again")
{
    TestCluster cluster(5, 5);
    cluster.startAll();
    REQUIRE(cluster.awaitLeader());
    REQUIRE(cluster.runUntil([&] { return cluster.repaired(); }));
    const int leader = cluster.leader();
    const int emptied = (leader + 1) % 5;
    cluster.crashAndLoseDisk(emptied);
    cluster.run(Milliseconds(1000));
    cluster.partition({ leader, emptied });
    cluster.start(emptied);
    const ConsensusMember& learner = *cluster.m_vms[emptied].m_member;
    const auto believesToBeMember
        = [&] { return findMember(latestConfiguration(learner.raft().m_log), learner.id()) != nullptr; };
    REQUIRE(cluster.runUntil(believesToBeMember, Milliseconds(2000)));
    REQUIRE(cluster.runUntil([&] { return cluster.leader() >= 0 && cluster.leader() != leader; }));
    REQUIRE(cluster.proposeAndAwait("one"));
    cluster.heal();
    REQUIRE(cluster.runUntil([&] { return cluster.repaired() && cluster.settled(); }));
    REQUIRE(cluster.m_violation.empty());
}

// Guards against changes that lose the majority, and against removed members that return or disturb the others.
TEST_CASE("Operators change the membership")
{
    TestCluster cluster(3, 11);
    cluster.startAll();
    REQUIRE(cluster.awaitLeader());
    REQUIRE(cluster.runUntil([&] { return cluster.repaired(); }));
    REQUIRE(cluster.proposeAndAwait("one"));
    const int first = cluster.leader();
    ConsensusMember& leader = *cluster.m_vms[first].m_member;
    const int other = (first + 1) % 3;

    SECTION("a VM that nobody invited is refused")
    {
        cluster.addVm();
        cluster.start(3);
        cluster.run(Milliseconds(5000));
        REQUIRE(isFresh(cluster.m_vms[3].m_member->raft()));
        REQUIRE_FALSE(cluster.m_vms[3].m_member->joinRefusal().empty());

        SECTION("once invited it becomes a voter")
        {
            REQUIRE(leader.addLearner(VmId("vm4"), "127.0.0.4:7000", cluster.m_now));
            REQUIRE(cluster.runUntil([&] { return cluster.repaired(); }));
            REQUIRE(cluster.runUntil([&] { return cluster.settled(); }));
            const std::string table = formatMemberTable(leader.members(cluster.m_now));
            REQUIRE(table.find("127.0.0.4:7000") != std::string::npos);
            REQUIRE(table.find("leader") != std::string::npos);
        }
    }
    SECTION("a removed member does not return and does not disturb the leader")
    {
        const MemberId removed = cluster.m_vms[other].m_member->id();
        const Term term = leader.term();
        REQUIRE(leader.removeMember(removed, cluster.m_now));
        REQUIRE_FALSE(leader.removeMember(removed, cluster.m_now));
        REQUIRE(cluster.runUntil([&] { return cluster.m_vms[other].m_member->removed(); }));
        cluster.crash(other);
        cluster.start(other);
        cluster.run(Milliseconds(10'000));
        REQUIRE(cluster.m_vms[other].m_member->removed());
        REQUIRE(leader.term() == term);
        REQUIRE(leader.members(cluster.m_now).size() == 2);
    }
    SECTION("a removal that would lose the majority is refused")
    {
        cluster.crash((first + 2) % 3);
        cluster.run(Milliseconds(2000));
        REQUIRE_FALSE(leader.removeMember(cluster.m_vms[other].m_member->id(), cluster.m_now));
        REQUIRE(leader.lastReason().m_code == ResultCode::NotReady);
    }
    SECTION("a leader removes itself")
    {
        REQUIRE(leader.removeMember(leader.id(), cluster.m_now));
        REQUIRE(cluster.runUntil([&] { return cluster.leader() >= 0 && cluster.leader() != first; }));
        REQUIRE(cluster.proposeAndAwait("two"));
        REQUIRE(leader.role() != Role::Leader);
    }
    SECTION("a second change waits until the first is committed")
    {
        cluster.isolate(first);
        REQUIRE(leader.removeMember(cluster.m_vms[other].m_member->id(), cluster.m_now));
        REQUIRE_FALSE(leader.removeMember(cluster.m_vms[(first + 2) % 3].m_member->id(), cluster.m_now));
        REQUIRE(leader.lastReason().m_code == ResultCode::NotReady);
    }
    SECTION("a member that restarts at another address is found there")
    {
        cluster.crash(other);
        cluster.m_vms[other].m_address = "127.0.0.99:7000";
        cluster.start(other);
        REQUIRE(cluster.runUntil([&] {
            const MemberRecord* record
                = findMember(latestConfiguration(leader.raft().m_log), cluster.m_vms[other].m_member->id());
            return record && record->m_address == "127.0.0.99:7000";
        }));
        REQUIRE(cluster.proposeAndAwait("two"));
        REQUIRE(cluster.runUntil([&] { return cluster.settled(); }));
    }
    REQUIRE(cluster.m_violation.empty());
}

// Guards against VMs that the seeds do not know staying outside, and against a lost one that counts for the majority.
TEST_CASE("With open membership VMs join without an invitation")
{
    TestCluster cluster(3, 11);
    cluster.m_openMembership = true;
    cluster.addVm();
    cluster.addVm();
    cluster.startAll();
    REQUIRE(cluster.awaitLeader());
    REQUIRE(cluster.runUntil([&] { return cluster.repaired(); }));
    REQUIRE(cluster.proposeAndAwait("with five"));

    SECTION("a replacement at another address takes over the vote of one that is gone")
    {
        const int lost = (cluster.leader() + 1) % 5;
        cluster.crash(lost);
        cluster.addVm();
        cluster.start(5);
        REQUIRE(cluster.runUntil([&] { return cluster.leader() >= 0 && cluster.repaired(); }));

        SECTION("so that two further losses are borne")
        {
            int more = 0;
            for (int vm = 0; vm < 6 && more < 2; ++vm) {
                if (vm == lost)
                    continue;
                cluster.crash(vm);
                ++more;
            }
            REQUIRE(cluster.awaitLeader());
            REQUIRE(cluster.proposeAndAwait("with three of five"));
        }
    }
    SECTION("one that is silent for a while keeps its vote as long as the number is odd")
    {
        const int silent = (cluster.leader() + 1) % 5;
        cluster.isolate(silent);
        cluster.run(Milliseconds(10'000));
        cluster.heal();
        REQUIRE(cluster.runUntil([&] { return cluster.repaired(); }));
    }
    REQUIRE(cluster.m_violation.empty());
}
