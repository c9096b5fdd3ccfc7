#include "control/tests/controlfixture.h"

#include <catch2/catch.hpp>

using namespace flamingo;

TEST_CASE("Entry VMs start, serve and leave")
{
    ControlFixture fixture(3, 2);
    fixture.run(Milliseconds(2500));
    INFO("a VM does not serve before its admission is in force");
    REQUIRE_FALSE(fixture.serves(0));
    fixture.run(Milliseconds(1500));
    REQUIRE(fixture.serves(0));
    REQUIRE(fixture.serves(1));
    REQUIRE(fixture.leader().state().m_published.m_vms.size() == 2);

    SECTION("the lease is renewed while the leader has a majority")
    {
        fixture.run(Milliseconds(20000));
        REQUIRE(fixture.serves(0));
        REQUIRE(fixture.leader().state().m_published.m_vms.size() == 2);

        SECTION("an isolated leader does not extend leases")
        {
            fixture.m_controls[0].m_isolated = true;
            fixture.run(Milliseconds(3100));
            REQUIRE_FALSE(fixture.serves(0));
            REQUIRE_FALSE(fixture.serves(1));
        }
        SECTION("VMs serve without interruption if the leader changes within the lease period")
        {
            fixture.m_controls[0].m_isolated = true;
            fixture.run(Milliseconds(500));
            fixture.elect(1);
            fixture.run(Milliseconds(500));
            fixture.depose(0);
            for (int step = 0; step < 400; ++step) {
                fixture.run(Milliseconds(20));
                REQUIRE(fixture.serves(0));
                REQUIRE(fixture.serves(1));
            }
        }
    }
    SECTION("a frozen VM does not serve on its old lease and gets the newer state before it serves again")
    {
        fixture.m_entries[0].m_frozen = true;
        fixture.run(Milliseconds(3100));
        REQUIRE_FALSE(fixture.serves(0));
        REQUIRE(fixture.serves(1));
        const Revision before = fixture.m_entries[0].m_deliveredRevision;
        fixture.commit(CreateService { ServiceName("verse"), {} }, "c1");
        fixture.run(Milliseconds(3000));
        REQUIRE(fixture.leader().checkInForce(fixture.m_lastResult.m_revision, fixture.m_now));
        REQUIRE(fixture.leader().state().m_published.m_vms.at(VmId("vm0")).m_departed);
        fixture.m_entries[0].m_frozen = false;
        while (!fixture.serves(0) && fixture.m_now < fixture.m_start + std::chrono::seconds(30))
            fixture.run(Milliseconds(10), Milliseconds(10));
        REQUIRE(fixture.serves(0));
        REQUIRE(fixture.m_entries[0].m_deliveredRevision > before);
        REQUIRE(fixture.client(0).state()->m_services.size() == 1);
    }
    // Otherwise its share of the connections to endpoints would stay reserved for good.
    SECTION("the record of a VM that is gone is removed")
    {
        fixture.m_entries[0].m_isolated = true;
        fixture.run(Milliseconds(9000));
        REQUIRE(fixture.leader().state().m_published.m_vms.at(VmId("vm0")).m_departed);
        fixture.run(std::chrono::seconds(62), Milliseconds(50));
        REQUIRE(fixture.leader().state().m_published.m_vms.count(VmId("vm0")) == 0);
    }
    SECTION("a VM that renews but does not apply a change does not keep it from coming into force")
    {
        // Messages from the VM arrive, messages to it are lost.
        fixture.commit(CreateService { ServiceName("verse"), {} }, "c1");
        const Revision change = fixture.m_lastResult.m_revision;
        for (int step = 0; step < 1200; ++step) {
            fixture.m_entries[0].m_inbox.clear();
            fixture.run(Milliseconds(10), Milliseconds(10));
            REQUIRE((!fixture.leader().checkInForce(change, fixture.m_now) || !fixture.serves(0)));
        }
        REQUIRE(fixture.leader().checkInForce(change, fixture.m_now));
        REQUIRE_FALSE(fixture.serves(0));
    }
    // Otherwise changes would come into force only after the end of its lease.
    SECTION("a VM that leaves stops serving and departs at once")
    {
        fixture.client(0).leave(fixture.clock(fixture.m_entries[0]));
        REQUIRE_FALSE(fixture.serves(0));
        fixture.run(Milliseconds(100));
        REQUIRE(fixture.client(0).hasLeft());
        REQUIRE(fixture.leader().state().m_published.m_vms.at(VmId("vm0")).m_departed);
        fixture.run(Milliseconds(3000));
        REQUIRE_FALSE(fixture.serves(0));
    }
}

TEST_CASE("The lease starts when the renewal is sent")
{
    LeaseKeeper keeper;
    const MonotonicTime sent { std::chrono::hours(1) };
    recordRenewalSent(keeper, 1, sent);
    REQUIRE(applyGrant(keeper, 1, Milliseconds(3000)));
    REQUIRE(leaseValid(keeper, sent + Milliseconds(2969)));
    // If the clock of the leader is fast and that of the VM slow, the lease must not end for the leader while the VM
    // still serves.
    INFO("the lease ends earlier by the allowance for clock drift");
    REQUIRE_FALSE(leaseValid(keeper, sent + Milliseconds(2970)));
    SECTION("a repeated or unknown answer does not extend the lease")
    {
        REQUIRE_FALSE(applyGrant(keeper, 1, Milliseconds(3000)));
        REQUIRE_FALSE(applyGrant(keeper, 7, Milliseconds(3000)));
    }
    SECTION("a grant longer than the lease period is limited to it")
    {
        recordRenewalSent(keeper, 2, sent);
        REQUIRE(applyGrant(keeper, 2, Milliseconds::max()));
        REQUIRE_FALSE(leaseValid(keeper, sent + Milliseconds(2970)));
    }
    SECTION("an answer without a lease does not shorten the current one")
    {
        recordRenewalSent(keeper, 2, sent + Milliseconds(1000));
        REQUIRE(applyGrant(keeper, 2, Milliseconds(0)));
        REQUIRE(leaseValid(keeper, sent + Milliseconds(2969)));
    }
    SECTION("a late answer does not renew a dropped lease")
    {
        recordRenewalSent(keeper, 2, sent + Milliseconds(1000));
        dropLease(keeper);
        REQUIRE_FALSE(applyGrant(keeper, 2, Milliseconds(3000)));
        REQUIRE_FALSE(leaseValid(keeper, sent));
    }
}
