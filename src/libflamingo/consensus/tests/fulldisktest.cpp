#include "testcluster.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <optional>

using namespace flamingo;
using namespace flamingo::test;

namespace {

constexpr Milliseconds reopenInterval { 1000 }; // as in the control role
constexpr Milliseconds maxTimeToCommit { 5000 }; // time in which users expect an acknowledgement

/** A cluster whose members reopen their logs after storage errors, as the control role does, while entries arrive. */
class FullDiskCluster {
public:
    FullDiskCluster(int vms, std::uint64_t seed)
        : m_cluster(vms, seed)
        , m_reopenAt(static_cast<std::size_t>(vms))
    {
        m_cluster.m_openMembership = true;
        m_cluster.m_snapshotInterval = 5 + seed % 30;
        m_cluster.m_options.m_trailingEntries = seed % 10;
        m_cluster.startAll();
        m_cluster.awaitLeader();
    }

    void run(Milliseconds duration)
    {
        constexpr Milliseconds step { 50 };
        for (Milliseconds passed { 0 }; passed < duration; passed += step) {
            if (pick(4) == 0)
                m_cluster.propose("e" + std::to_string(m_proposals++));
            m_cluster.run(step);
            reopenFailed();
        }
    }

    /** Fills the disk of one VM for some seconds. The last write before may be torn, and the VM may lose power. */
    void fillDisk(int vm)
    {
        m_cluster.m_vms[vm].m_disk->m_room = pick(300);
        run(Milliseconds(static_cast<std::int64_t>(1000 + pick(3000))));
        if (pick(4) == 0)
            m_cluster.crash(vm);
        m_cluster.m_vms[vm].m_disk->m_room.reset();
        run(Milliseconds(static_cast<std::int64_t>(100 + pick(500))));
    }
    int leaderOr(int vm) const { return m_cluster.leader() >= 0 ? m_cluster.leader() : vm; }

    /** Returns whether an entry that is proposed again and again is committed in the time that users expect. */
    bool commitsInTime()
    {
        const std::string entry = "last" + std::to_string(m_proposals++);
        const MonotonicTime end = m_cluster.m_now + maxTimeToCommit;
        while (m_cluster.m_now < end) {
            m_cluster.propose(entry);
            run(Milliseconds(200));
            const int vm = m_cluster.leader();
            const auto& applied = m_cluster.m_vms[std::max(vm, 0)].m_applied;
            if (vm >= 0
                && std::any_of(applied.begin(), applied.end(), [&](const auto& pair) { return pair.second == entry; }))
                return true;
        }
        return false;
    }
    bool membersReturn()
    {
        for (Milliseconds passed { 0 }; passed < Milliseconds(30000); passed += Milliseconds(500)) {
            run(Milliseconds(500));
            if (m_cluster.membershipComplete())
                return true;
        }
        return false;
    }

    std::uint64_t pick(std::uint64_t bound) { return m_cluster.m_random() % bound; }

    TestCluster m_cluster;
    std::string m_lastReopenFailure;

private:
    void reopenFailed()
    {
        for (std::size_t vm = 0; vm < m_cluster.m_vms.size(); ++vm) {
            const auto& member = m_cluster.m_vms[vm].m_member;
            if (member && !member->failed()) {
                m_reopenAt[vm].reset();
            } else if (!m_reopenAt[vm]) {
                m_reopenAt[vm] = m_cluster.m_now + reopenInterval;
            } else if (m_cluster.m_now >= *m_reopenAt[vm]) {
                m_reopenAt[vm] = m_cluster.m_now + reopenInterval;
                Reason reason;
                if (!m_cluster.reopen(static_cast<int>(vm), reason))
                    m_lastReopenFailure = reason.m_text;
            }
        }
    }

    std::vector<std::optional<MonotonicTime>> m_reopenAt; // set while a member is closed
    int m_proposals = 0;
};

void fillDisksInTurn(std::uint64_t seed, int vms)
{
    FullDiskCluster full(vms, seed);
    const int rounds = vms + static_cast<int>(full.pick(4));
    for (int round = 0; round < rounds; ++round)
        full.fillDisk(seed % 2 == 0 ? round % vms : full.leaderOr(round % vms));
    const bool commits = full.commitsInTime();
    if (!full.m_cluster.m_violation.empty())
        RC_FAIL(full.m_cluster.m_violation);
    if (!commits)
        RC_FAIL("nothing is committed; last failure to reopen a log: " + full.m_lastReopenFailure);
    RC_ASSERT(full.membersReturn());
    RC_ASSERT(full.commitsInTime());
}

} // namespace

// Guards against a cluster that commits no entries any more after the disks of its members were full, one after
// another.
TEST_CASE("The cluster commits entries again once no disk is full")
{
    rc::prop("three members", [](std::uint64_t seed) { fillDisksInTurn(seed, 3); });
    rc::prop("five members", [](std::uint64_t seed) { fillDisksInTurn(seed, 5); });
}
