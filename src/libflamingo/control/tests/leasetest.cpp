#include "control/tests/controlfixture.h"

#include <catch2/catch.hpp>

using namespace flamingo;

TEST_CASE("Entry VMs start, serve and leave")
{
    ControlFixture fixture(3, 2);
    fixture.run(Milliseconds(2500));
    INFO("guards against serving before the admission is in force everywhere");
    REQUIRE_FALSE(fixture.serves(0));
    fixture.run(Milliseconds(1500));
    REQUIRE(fixture.serves(0));
    REQUIRE(fixture.serves(1));
    REQUIRE(fixture.leader().state().m_published.m_vms.size() == 2);

    SECTION("the lease is renewed for as long as the leader has a majority")
    {
        fixture.run(Milliseconds(20000));
        REQUIRE(fixture.serves(0));
        REQUIRE(fixture.leader().state().m_published.m_vms.size() == 2);

        SECTION("guards against a cut-off leader that extends leases")
        {
            fixture.m_controls[0].m_cutOff = true;
            fixture.run(Milliseconds(3100));
            REQUIRE_FALSE(fixture.serves(0));
            REQUIRE_FALSE(fixture.serves(1));
        }
        SECTION("guards against an interruption when the leader changes in time")
        {
            fixture.m_controls[0].m_cutOff = true;
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
    SECTION("guards against a frozen VM that acts on its old lease")
    {
        fixture.m_entries[0].m_frozen = true;
        fixture.run(Milliseconds(3100));
        REQUIRE_FALSE(fixture.serves(0));
        REQUIRE(fixture.serves(1));
        const Revision before = fixture.m_entries[0].m_shown;
        fixture.commit(CreateService { ServiceName("verse"), {} }, "c1");
        fixture.run(Milliseconds(3000));
        REQUIRE(fixture.leader().checkInForce(fixture.m_lastResult.m_revision, fixture.m_now));
        REQUIRE(fixture.leader().state().m_published.m_vms.at(VmId("vm0")).m_departed);
        fixture.m_entries[0].m_frozen = false;
        while (!fixture.serves(0) && fixture.m_now < fixture.m_start + std::chrono::seconds(30))
            fixture.run(Milliseconds(10), Milliseconds(10));
        REQUIRE(fixture.serves(0));
        REQUIRE(fixture.m_entries[0].m_shown > before);
        REQUIRE(fixture.client(0).state()->m_services.size() == 1);
    }
    SECTION("guards against connections of a VM that is gone being kept reserved for ever")
    {
        fixture.m_entries[0].m_cutOff = true;
        fixture.run(Milliseconds(9000));
        REQUIRE(fixture.leader().state().m_published.m_vms.at(VmId("vm0")).m_departed);
        fixture.run(std::chrono::seconds(62), Milliseconds(50));
        REQUIRE(fixture.leader().state().m_published.m_vms.count(VmId("vm0")) == 0);
    }
    SECTION("guards against a VM that renews but does not apply changes keeping them out of force")
    {
        // Its outgoing messages get through, the incoming ones do not.
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
    SECTION("a VM that leaves holds nobody up")
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

TEST_CASE("The lease keeper counts from the moment of sending")
{
    LeaseKeeper keeper;
    const MonotonicTime sent { std::chrono::hours(1) };
    noteRenewal(keeper, 1, sent);
    REQUIRE(takeGrant(keeper, 1, Milliseconds(3000)));
    REQUIRE(leaseValid(keeper, sent + Milliseconds(2969)));
    INFO("guards against a fast leader clock and a slow VM clock leaving a gap");
    REQUIRE_FALSE(leaseValid(keeper, sent + Milliseconds(2970)));
    SECTION("guards against a repeated or unknown answer extending the lease")
    {
        REQUIRE_FALSE(takeGrant(keeper, 1, Milliseconds(3000)));
        REQUIRE_FALSE(takeGrant(keeper, 7, Milliseconds(3000)));
    }
    SECTION("guards against an absurd grant being believed")
    {
        noteRenewal(keeper, 2, sent);
        REQUIRE(takeGrant(keeper, 2, Milliseconds::max()));
        REQUIRE_FALSE(leaseValid(keeper, sent + Milliseconds(2970)));
    }
    SECTION("an answer without a lease ends nothing early")
    {
        noteRenewal(keeper, 2, sent + Milliseconds(1000));
        REQUIRE(takeGrant(keeper, 2, Milliseconds(0)));
        REQUIRE(leaseValid(keeper, sent + Milliseconds(2969)));
    }
    SECTION("a dropped lease stays dropped when its answer comes late")
    {
        noteRenewal(keeper, 2, sent + Milliseconds(1000));
        dropLease(keeper);
        REQUIRE_FALSE(takeGrant(keeper, 2, Milliseconds(3000)));
        REQUIRE_FALSE(leaseValid(keeper, sent));
    }
}
