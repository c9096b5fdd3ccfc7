#include "control/codec.h"
#include "control/controlservice.h"
#include "control/tests/commandmaker.h"

#include <catch2/catch.hpp>

using namespace flamingo;

namespace {

/** A control VM whose role, heartbeat rounds and log are controlled by the test. */
struct ServiceFixture {
    MonotonicTime m_now { std::chrono::hours(1) };
    std::optional<MonotonicTime> m_leaderSince = m_now;
    bool m_roundsConfirmed = true;
    bool m_caughtUp = true;
    bool m_applyAtOnce = true;
    std::vector<std::string> m_controlAddresses { "127.0.0.1:7001", "127.0.0.2:7001" };
    std::vector<std::string> m_log;
    std::vector<std::pair<LinkId, ControlMessage>> m_sent;
    std::unique_ptr<ControlService> m_service;

    ServiceFixture()
    {
        ControlServicePorts ports;
        ports.m_propose = [this](const std::string& bytes) {
            m_log.push_back(bytes);
            if (m_applyAtOnce)
                m_service->onApplied(bytes, m_now);
            return true;
        };
        ports.m_readyToServe = [this]() { return m_leaderSince.has_value() && m_caughtUp; };
        ports.m_confirmedRoundStart = [this]() { return m_roundsConfirmed ? std::optional(m_now) : std::nullopt; };
        ports.m_leaderSince = [this]() { return m_leaderSince; };
        ports.m_leaderAddress = []() { return std::string("127.0.0.1:7001"); };
        ports.m_controlAddresses = [this]() { return m_controlAddresses; };
        ports.m_send = [this](LinkId link, const std::string& bytes) {
            Reason reason;
            m_sent.emplace_back(link, *decodeMessage(bytes, reason));
        };
        ports.m_wallClock = [this]() {
            return LogTime(
                startSeconds * 1000 + std::chrono::duration_cast<Milliseconds>(m_now.time_since_epoch()).count());
        };
        m_service = std::make_unique<ControlService>(ports, 1);
    }
    Revision revision() const { return m_service->state().m_published.m_revision; }
    const PublishedState& published() const { return m_service->state().m_published; }
    void run(Milliseconds time, Milliseconds step = Milliseconds(100))
    {
        for (const MonotonicTime end = m_now + time; m_now < end;) {
            m_now += step;
            m_service->tick(m_now);
        }
    }
    void open(std::uint64_t link, const std::string& vm)
    {
        m_service->onLinkOpened(LinkId(link));
        message(link, Hello { VmId(vm), Incarnation(1), {}, {}, Revision(), 0 });
    }
    bool message(std::uint64_t link, const ControlMessage& message)
    {
        return m_service->onMessage(LinkId(link), encodeMessage(message), m_now);
    }
    Grant renew(std::uint64_t link, Revision applied, std::vector<EndpointId> endpoints = {})
    {
        message(link, Renew { 1, applied, std::move(endpoints), false });
        return last<Grant>();
    }
    template <typename T> T last() const
    {
        for (auto sent = m_sent.rbegin(); sent != m_sent.rend(); ++sent) {
            if (const T* message = std::get_if<T>(&sent->second))
                return *message;
        }
        FAIL("no message of this type was sent");
        return {};
    }
    template <typename T> std::size_t count() const
    {
        std::size_t number = 0;
        for (const auto& [link, message] : m_sent)
            number += std::holds_alternative<T>(message) ? 1 : 0;
        return number;
    }
    CommandResult command(std::uint64_t link, CommandBody body, const std::string& id = {})
    {
        message(link, CommandRequest { 5, { CommandId(id), {}, {}, std::move(body) } });
        return last<CommandReply>().m_result;
    }
    StatusReply status(Revision asked)
    {
        message(1, StatusRequest { 6, asked });
        return last<StatusReply>();
    }
};

} // namespace

TEST_CASE("The leader grants leases")
{
    ServiceFixture fixture;
    fixture.open(1, "vm1");
    fixture.open(2, "vm2");
    REQUIRE(fixture.revision() == Revision(2));

    SECTION("a VM is not admitted before it has applied its own admission")
    {
        REQUIRE(fixture.renew(1, Revision(0)).m_remaining == Milliseconds(0));
        REQUIRE(fixture.renew(1, Revision(1)).m_remaining == leasePeriod);
        REQUIRE_FALSE(fixture.renew(1, Revision(2)).m_admitted);
        fixture.run(leasePeriod);
        REQUIRE(fixture.renew(1, Revision(2)).m_admitted);
    }
    SECTION("no lease is granted without a confirmed heartbeat round")
    {
        fixture.m_roundsConfirmed = false;
        REQUIRE(fixture.renew(1, Revision(2)).m_remaining == Milliseconds(0));
    }
    SECTION("a change is in force once all holders have confirmed it or their leases have ended")
    {
        fixture.run(leasePeriod);
        fixture.renew(1, Revision(2));
        fixture.renew(2, Revision(2));
        const Revision change = fixture.command(1, CreateService { ServiceName("verse"), {} }, "c1").m_revision;
        StatusReply status = fixture.status(change);
        REQUIRE(status.m_holdersTotal == 2);
        REQUIRE(status.m_holdersConfirmed == 0);
        fixture.renew(1, change);
        status = fixture.status(change);
        REQUIRE(status.m_holdersConfirmed == 1);
        REQUIRE_FALSE(status.m_inForce);

        SECTION("by confirmation")
        {
            fixture.renew(2, change);
            REQUIRE(fixture.status(change).m_inForce);
        }
        SECTION("by the end of the lease, and then the VM gets no lease until it has applied the change")
        {
            fixture.run(leasePeriod - Milliseconds(100));
            REQUIRE_FALSE(fixture.status(change).m_inForce);
            fixture.run(Milliseconds(100));
            REQUIRE(fixture.status(change).m_inForce);
            INFO("a VM with an older state gets no lease after the change was reported in force");
            REQUIRE(fixture.renew(2, Revision(2)).m_remaining == Milliseconds(0));
            REQUIRE(fixture.renew(2, change).m_remaining == leasePeriod);
        }
        SECTION("a new leader refuses leases below the revision in force and waits for the leases of its predecessor")
        {
            fixture.renew(2, change);
            REQUIRE(fixture.status(change).m_inForce);
            fixture.m_leaderSince = fixture.m_now;
            REQUIRE(fixture.renew(2, Revision(2)).m_remaining == Milliseconds(0));
            fixture.renew(1, change);
            REQUIRE_FALSE(fixture.status(change).m_inForce);
            fixture.run(leasePeriod - Milliseconds(100));
            REQUIRE_FALSE(fixture.status(change).m_inForce);
            fixture.run(Milliseconds(100));
            REQUIRE(fixture.status(change).m_inForce);
        }
        SECTION("a VM that renews without applying the change does not keep it from coming into force")
        {
            for (Milliseconds part { 0 }; part < ControlService::maxLag + leasePeriod; part += Milliseconds(500)) {
                fixture.run(Milliseconds(500));
                fixture.renew(1, change);
                fixture.renew(2, Revision(2));
            }
            REQUIRE(fixture.status(change).m_inForce);
            REQUIRE(fixture.published().m_vms.at(VmId("vm2")).m_departed == false);
        }
        SECTION("a revision that does not exist yet is not in force")
        {
            REQUIRE_FALSE(fixture.status(Revision(1000)).m_inForce);
        }
    }
    SECTION("a new leader keeps its links but grants no leases until it has caught up")
    {
        fixture.m_leaderSince = fixture.m_now;
        fixture.m_caughtUp = false;
        fixture.m_service->onRoleChanged(fixture.m_now);
        const std::size_t before = fixture.count<NotLeader>();
        fixture.open(3, "vm3");
        REQUIRE(fixture.renew(1, Revision(2)).m_remaining == Milliseconds(0));
        REQUIRE(fixture.count<NotLeader>() == before);
        REQUIRE(fixture.published().m_vms.size() == 2);
        fixture.m_caughtUp = true;
        fixture.run(Milliseconds(100));
        REQUIRE(fixture.published().m_vms.size() == 3);
        REQUIRE(fixture.renew(1, Revision(3)).m_remaining == leasePeriod);
    }
    // Otherwise the two processes would replace each other in turn.
    SECTION("a second process with the same VM id is admitted only after the first one disconnects")
    {
        fixture.m_service->onLinkOpened(LinkId(3));
        fixture.message(3, Hello { VmId("vm1"), Incarnation(2), {}, {}, Revision(), 0 });
        REQUIRE(fixture.published().m_vms.at(VmId("vm1")).m_incarnation == Incarnation(1));
        fixture.m_service->onLinkClosed(LinkId(1));
        REQUIRE(fixture.renew(3, Revision(2)).m_remaining == Milliseconds(0));
        REQUIRE(fixture.published().m_vms.at(VmId("vm1")).m_incarnation == Incarnation(2));
    }
}

TEST_CASE("Entry VMs receive the addresses of all control VMs")
{
    ServiceFixture fixture;
    fixture.open(1, "vm1");
    REQUIRE(fixture.last<ControlAddresses>().m_addresses == fixture.m_controlAddresses);

    SECTION("again only after a control VM was replaced")
    {
        fixture.run(Milliseconds(1000));
        REQUIRE(fixture.count<ControlAddresses>() == 1);
        fixture.m_controlAddresses.back() = "127.0.0.3:7001";
        fixture.run(Milliseconds(200));
        REQUIRE(fixture.count<ControlAddresses>() == 2);
        REQUIRE(fixture.last<ControlAddresses>().m_addresses.back() == "127.0.0.3:7001");
    }
    SECTION("also from a control VM that is not the leader")
    {
        fixture.m_leaderSince.reset();
        fixture.open(2, "vm2");
        REQUIRE(fixture.count<ControlAddresses>() == 2);
    }
}

TEST_CASE("The leader sends state updates")
{
    ServiceFixture fixture;
    fixture.open(1, "vm1");
    REQUIRE(fixture.count<FullCopy>() == 1);
    const auto change = [&fixture](const std::string& name) {
        return fixture.command(1, CreateService { ServiceName(name), {} }, name).m_revision;
    };
    fixture.renew(1, Revision(1));
    change("a");
    change("b");
    fixture.run(Milliseconds(100));
    REQUIRE(fixture.count<Delta>() == 1);
    REQUIRE(fixture.last<Delta>().m_changes.size() == 2);

    // Otherwise deltas would pile up on a slow link.
    SECTION("at most one delta is in flight on a link")
    {
        change("c");
        fixture.run(Milliseconds(2000));
        REQUIRE(fixture.count<Delta>() == 1);
        fixture.renew(1, Revision(3));
        fixture.run(Milliseconds(100));
        REQUIRE(fixture.count<Delta>() == 2);
        REQUIRE(fixture.last<Delta>().m_from == Revision(3));
    }
    SECTION("a VM that lost its state gets a full copy")
    {
        fixture.message(1, Hello { VmId("vm1"), Incarnation(1), {}, {}, Revision(), 0 });
        fixture.run(Milliseconds(100));
        REQUIRE(fixture.count<FullCopy>() == 2);
    }
    // Otherwise all VMs that start together would be sent full copies at once.
    SECTION("the number of full copies in one tick is limited")
    {
        for (std::uint64_t link = 10; link < 30; ++link)
            fixture.open(link, "vm" + std::to_string(link));
        const std::size_t before = fixture.count<FullCopy>();
        fixture.run(Milliseconds(100));
        REQUIRE(fixture.count<FullCopy>() <= before + ControlService::maxFullCopiesPerTick);
        fixture.run(Milliseconds(1000));
        REQUIRE(fixture.count<FullCopy>() == 21);
    }
}

TEST_CASE("The leader answers commands")
{
    ServiceFixture fixture;
    fixture.open(1, "vm1");

    SECTION("a VM that is no longer the leader does not answer commands")
    {
        fixture.m_applyAtOnce = false;
        fixture.message(
            1, CommandRequest { 5, { CommandId("c1"), {}, {}, CreateService { ServiceName("verse"), {} } } });
        const std::string entry = fixture.m_log.back();
        fixture.m_leaderSince.reset();
        fixture.m_service->onRoleChanged(fixture.m_now);
        REQUIRE(fixture.last<NotLeader>().m_leaderAddress == "127.0.0.1:7001");
        REQUIRE(fixture.m_service->onApplied(entry, fixture.m_now));
        REQUIRE(fixture.count<CommandReply>() == 0);
        REQUIRE(fixture.published().m_services.size() == 1);
        fixture.message(
            1, CommandRequest { 6, { CommandId("c1"), {}, {}, CreateService { ServiceName("verse"), {} } } });
        REQUIRE(fixture.last<NotLeader>().m_sequence == 6);
    }
    SECTION("a VM cannot send commands for another VM or for the leader")
    {
        REQUIRE(fixture.command(1, openClaim("a", "vm2", 1)).m_code == ResultCode::InvalidField);
        REQUIRE(fixture.command(1, DepartVm { VmId("vm1"), Incarnation(1) }).m_code == ResultCode::InvalidField);
        REQUIRE(fixture.published().m_vms.size() == 1);
    }
    SECTION("the number of pending commands is limited")
    {
        fixture.m_applyAtOnce = false;
        for (std::size_t index = 0; index < ControlService::maxPendingCommands; ++index)
            fixture.message(1, CommandRequest { 5, { {}, {}, {}, ClearSuspect { Fingerprint(1) } } });
        REQUIRE(fixture.command(1, ClearSuspect { Fingerprint(1) }).m_code == ResultCode::Overloaded);
    }
    SECTION("invalid messages, log entries and snapshots are refused and change nothing")
    {
        REQUIRE_FALSE(fixture.m_service->onMessage(LinkId(1), "nonsense", fixture.m_now));
        REQUIRE(fixture.m_service->lastReason().m_code == ResultCode::MalformedBody);
        REQUIRE_FALSE(fixture.message(1, StatusReply {}));
        REQUIRE_FALSE(fixture.m_service->onApplied("nonsense", fixture.m_now));
        REQUIRE_FALSE(fixture.m_service->restoreSnapshot("nonsense"));
        REQUIRE(fixture.published().m_vms.size() == 1);
    }
    SECTION("log time advances on an idle system")
    {
        const LogTime before = fixture.m_service->state().m_logTime;
        fixture.run(Milliseconds(61000));
        REQUIRE(fixture.m_service->state().m_logTime > before);
    }
    SECTION("a restored snapshot gives the same state on another VM")
    {
        fixture.command(1, CreateService { ServiceName("verse"), {} }, "c1");
        ServiceFixture other;
        REQUIRE(other.m_service->restoreSnapshot(fixture.m_service->takeSnapshot()));
        REQUIRE(other.m_service->takeSnapshot() == fixture.m_service->takeSnapshot());
    }
}

TEST_CASE("The leader removes silent endpoints")
{
    ServiceFixture fixture;
    fixture.open(1, "vm1");
    fixture.command(1, CreateService { ServiceName("verse"), {} }, "c1");
    for (const char* id : { "e1", "e2", "e3" })
        REQUIRE(fixture.command(1, registration(id, "verse", 1, 0)).m_code == ResultCode::Ok);
    const auto renewFor = [&fixture](Milliseconds time, const std::vector<EndpointId>& endpoints) {
        for (Milliseconds part { 0 }; part < time; part += Milliseconds(500)) {
            fixture.renew(1, fixture.revision(), endpoints);
            fixture.run(Milliseconds(500));
        }
    };
    // Otherwise the loss of a data centre would cause one command for each of its endpoints.
    SECTION("endpoints that stopped renewing are removed by one command, and a renewed endpoint stays")
    {
        renewFor(Milliseconds(1000), { EndpointId("e1"), EndpointId("e2") });
        renewFor(Milliseconds(10500), { EndpointId("e1") });
        REQUIRE(fixture.published().m_endpoints.size() == 3);
        const Revision before = fixture.revision();
        renewFor(Milliseconds(2500), { EndpointId("e1") });
        REQUIRE(fixture.published().m_endpoints.size() == 1);
        REQUIRE(fixture.revision() == Revision(before.value() + 1));
    }
    SECTION("no endpoints are removed after the leader itself was frozen")
    {
        renewFor(Milliseconds(2000), { EndpointId("e1"), EndpointId("e2"), EndpointId("e3") });
        fixture.m_now += std::chrono::minutes(1);
        fixture.run(Milliseconds(1000));
        REQUIRE(fixture.published().m_endpoints.size() == 3);
    }
    SECTION("no endpoints are removed while no VM reaches the leader")
    {
        fixture.run(Milliseconds(30000));
        REQUIRE(fixture.published().m_endpoints.size() == 3);
    }
    SECTION("a new leader starts the expiry time of each endpoint again")
    {
        renewFor(Milliseconds(9000), {});
        fixture.m_leaderSince = fixture.m_now;
        renewFor(Milliseconds(9500), {});
        REQUIRE(fixture.published().m_endpoints.size() == 3);
        renewFor(Milliseconds(3500), {});
        REQUIRE(fixture.published().m_endpoints.empty());
    }
    // Otherwise VMs could send new work to the endpoint even seconds after it left.
    SECTION("the removal of an endpoint that left is in force after one lease period")
    {
        fixture.run(leasePeriod);
        fixture.renew(1, fixture.revision());
        const CommandResult left
            = fixture.command(1, RemoveEndpoints { { { EndpointId("e1"), Incarnation(1), false } } });
        REQUIRE_FALSE(fixture.status(left.m_revision).m_inForce);
        fixture.run(leasePeriod);
        REQUIRE(fixture.status(left.m_revision).m_inForce);
    }
}

// Guards against a drain that is lost with the registration, so that a delayed registration makes the endpoint ready.
TEST_CASE("The leader keeps what endpoints said of their shutdown through entry VMs")
{
    ServiceFixture fixture;
    fixture.open(1, "vm1");
    fixture.command(1, CreateService { ServiceName("verse"), {} }, "c1");
    fixture.command(1, registration("e1", "verse", 1, 0));
    const auto registerAgain = [&fixture] { return fixture.command(1, registration("e1", "verse", 1, 0)).m_code; };
    const DrainOwnEndpoint drain { EndpointId("e1"), Incarnation(1) };

    SECTION("when the registration of a draining endpoint expires")
    {
        REQUIRE(fixture.command(1, drain).m_code == ResultCode::Ok);
        for (int second = 0; second < 15; ++second) {
            fixture.renew(1, fixture.revision());
            fixture.run(Milliseconds(1000));
        }
        REQUIRE(fixture.published().m_endpoints.empty());
        CHECK(registerAgain() == ResultCode::InvalidField);
    }
    SECTION("when the registration had expired before the drain")
    {
        fixture.command(1, RemoveEndpoints { { { EndpointId("e1"), Incarnation(1), true } } });
        CHECK(fixture.command(1, drain).m_code == ResultCode::Ok);
        CHECK(registerAgain() == ResultCode::InvalidField);
        CHECK(fixture.command(1, registration("e1", "verse", 1, 0, 2)).m_code == ResultCode::Ok);
    }
    SECTION("when another incarnation replaces a draining endpoint and expires")
    {
        fixture.command(1, drain);
        CHECK(fixture.command(1, registration("e1", "verse", 1, 0, 2)).m_code == ResultCode::Ok);
        CHECK(fixture.published().m_endpoints.at(EndpointId("e1")).m_incarnation == Incarnation(2));
        fixture.command(1, RemoveEndpoints { { { EndpointId("e1"), Incarnation(2), true } } });
        CHECK(registerAgain() == ResultCode::InvalidField);
    }
    SECTION("when the service of a draining endpoint is dropped and created again")
    {
        fixture.command(1, drain);
        CHECK(fixture.command(1, DropService { ServiceName("verse") }, "c2").m_code == ResultCode::Ok);
        fixture.command(1, CreateService { ServiceName("verse"), {} }, "c3");
        CHECK(registerAgain() == ResultCode::InvalidField);
    }
    SECTION("but a service that is not dropped keeps its draining endpoints")
    {
        fixture.command(1, drain);
        Command stale { CommandId("c2"), ConfigurationVersion(7), {}, DropService { ServiceName("verse") } };
        fixture.message(1, CommandRequest { 5, stale });
        CHECK(fixture.last<CommandReply>().m_result.m_code == ResultCode::VersionMismatch);
        CHECK(fixture.published().m_endpoints.at(EndpointId("e1")).m_draining);
    }
    SECTION("while an endpoint that said nothing registers again")
    {
        fixture.command(1, RemoveEndpoints { { { EndpointId("e1"), Incarnation(1), true } } });
        CHECK(registerAgain() == ResultCode::Ok);
    }
}
