#include "control/tests/controlfixture.h"

#include <catch2/catch.hpp>

using namespace flamingo;

namespace {

/** A client of an entry VM; the test simulates its link and the control VM. */
struct ClientFixture {
    MonotonicTime m_now { std::chrono::hours(1) };
    std::vector<std::pair<LinkId, std::string>> m_connects;
    std::vector<ControlMessage> m_sent;
    std::vector<Revision> m_states;
    std::unique_ptr<ControlClient> m_client;

    ClientFixture()
    {
        ControlClientSettings settings { VmId("vm1"), Incarnation(1), {}, {}, { "a", "b", "c" } };
        ControlClientPorts ports;
        ports.m_connect = [this](LinkId link, const std::string& address) { m_connects.emplace_back(link, address); };
        ports.m_close = [](LinkId) {};
        ports.m_send = [this](LinkId, const std::string& bytes) {
            Reason reason;
            m_sent.push_back(*decodeMessage(bytes, reason));
        };
        ports.m_onState = [this](const auto& state) { m_states.push_back(state->m_revision); };
        ports.m_random = []() { return 0.0; };
        m_client = std::make_unique<ControlClient>(settings, ports);
    }
    void run(Milliseconds time)
    {
        for (const MonotonicTime end = m_now + time; m_now < end;) {
            m_now += Milliseconds(10);
            m_client->tick(m_now);
        }
    }
    void open()
    {
        run(Milliseconds(10));
        m_client->onLinkOpened(m_connects.back().first, m_now);
    }
    void answer(const ControlMessage& message)
    {
        m_client->onMessage(m_connects.back().first, encodeMessage(message), m_now);
    }
    template <typename T> T last() const
    {
        for (auto sent = m_sent.rbegin(); sent != m_sent.rend(); ++sent) {
            if (const T* message = std::get_if<T>(&*sent))
                return *message;
        }
        FAIL("no message of this type was sent");
        return {};
    }
    FullCopy copy(std::uint64_t revision)
    {
        FullCopy copy;
        copy.m_state.m_revision = Revision(revision);
        applyChange(copy.m_state, admission("vm1").m_vm);
        copy.m_digest = publishedDigest(copy.m_state);
        return copy;
    }
};

} // namespace

TEST_CASE("The client finds the leader")
{
    ClientFixture fixture;
    fixture.run(Milliseconds(10));
    REQUIRE(fixture.m_connects.size() == 1);

    SECTION("the client connects to the leader that another control VM names")
    {
        fixture.open();
        fixture.answer(NotLeader { "leader", 0 });
        REQUIRE(fixture.m_connects.back().second == "leader");

        SECTION("two control VMs that name each other as leader are not asked without a pause")
        {
            for (int turn = 0; turn < 50; ++turn) {
                fixture.m_client->onLinkOpened(fixture.m_connects.back().first, fixture.m_now);
                fixture.answer(NotLeader { turn % 2 == 0 ? "other" : "leader", 0 });
            }
            REQUIRE(fixture.m_connects.size() <= 5);
            fixture.run(Milliseconds(2000));
            REQUIRE(fixture.m_connects.size() > 5);
        }
    }
    // Otherwise a VM would know only control VMs that are gone after all those in its settings were replaced.
    SECTION("the client tries both the announced addresses and those of its settings")
    {
        fixture.open();
        fixture.answer(ControlAddresses { { "x", "b" } });
        std::set<std::string> tried;
        for (int step = 0; step < 500; ++step) {
            fixture.m_client->onLinkClosed(fixture.m_connects.back().first, fixture.m_now);
            fixture.run(Milliseconds(10));
            tried.insert(fixture.m_connects.back().second);
        }
        REQUIRE(tried == std::set<std::string> { "x", "a", "b", "c" });
    }
    SECTION("the client backs off if control VMs refuse connections")
    {
        for (int step = 0; step < 1000; ++step) {
            fixture.m_client->onLinkClosed(fixture.m_connects.back().first, fixture.m_now);
            fixture.run(Milliseconds(10));
        }
        REQUIRE(fixture.m_connects.size() < 40);
        REQUIRE(fixture.m_connects[1].second == "b");
        REQUIRE(fixture.m_connects[2].second == "c");
    }
    SECTION("the client leaves a control VM that accepts a connection but does not answer")
    {
        fixture.open();
        fixture.run(ControlClient::answerTimeout + Milliseconds(100));
        REQUIRE(fixture.m_connects.back().second == "b");
        fixture.run(ControlClient::connectTimeout + Milliseconds(200));
        REQUIRE(fixture.m_connects.back().second == "c");
    }
    SECTION("an invalid message from a control VM closes only that link")
    {
        fixture.open();
        fixture.m_client->onMessage(fixture.m_connects.back().first, "nonsense", fixture.m_now);
        REQUIRE(fixture.m_client->lastReason().m_code == ResultCode::MalformedBody);
        fixture.run(Milliseconds(100));
        REQUIRE(fixture.m_connects.size() == 2);
    }
}

TEST_CASE("The client keeps the state up to date")
{
    ClientFixture fixture;
    fixture.open();
    REQUIRE(fixture.last<Hello>().m_appliedRevision == Revision(0));
    fixture.answer(fixture.copy(5));
    REQUIRE(fixture.m_client->state()->m_revision == Revision(5));
    REQUIRE(fixture.last<Renew>().m_appliedRevision == Revision(5));

    SECTION("the client ignores a state older than the current one")
    {
        fixture.answer(fixture.copy(4));
        REQUIRE(fixture.m_client->state()->m_revision == Revision(5));
        REQUIRE(fixture.m_states.size() == 1);
    }
    SECTION("the client requests a full copy if a delta leads to another digest than the leader's")
    {
        Delta delta { Revision(5), Revision(6), ConfigurationVersion(0), { ErasedVm { VmId("vm9") } }, 1 };
        fixture.answer(delta);
        REQUIRE(fixture.m_client->state()->m_revision == Revision(5));
        REQUIRE(fixture.last<Hello>().m_appliedRevision == Revision(0));
        REQUIRE(fixture.last<Hello>().m_appliedDigest == 0);
        fixture.answer(fixture.copy(6));
        REQUIRE(fixture.m_client->state()->m_revision == Revision(6));
    }
    SECTION("the client requests a full copy if a delta is missing")
    {
        fixture.answer(Delta { Revision(6), Revision(7), ConfigurationVersion(0), {}, 1 });
        REQUIRE(fixture.m_client->state()->m_revision == Revision(5));
        REQUIRE(fixture.last<Hello>().m_appliedRevision == Revision(0));
    }
    SECTION("a state does not change while a reader holds it")
    {
        const auto held = fixture.m_client->state();
        PublishedState expected = *held;
        for (std::uint64_t revision = 6; revision < 20; ++revision) {
            Delta delta { Revision(revision - 1), Revision(revision), ConfigurationVersion(0),
                { admission("vm" + std::to_string(revision)).m_vm }, 0 };
            applyDelta(expected, delta);
            delta.m_digest = publishedDigest(expected);
            fixture.answer(delta);
            REQUIRE(encodePublishedState(*fixture.m_client->state()) == encodePublishedState(expected));
        }
        REQUIRE(held->m_vms.size() == 1);
        REQUIRE(held->m_revision == Revision(5));
    }
    SECTION("the VM does not serve after its departure, even if it was admitted before")
    {
        fixture.answer(Grant { fixture.last<Renew>().m_sequence, leasePeriod, true, {} });
        REQUIRE(fixture.m_client->mayServe(fixture.m_now));
        FullCopy departed = fixture.copy(6);
        departed.m_state.m_vms[VmId("vm1")].m_departed = true;
        departed.m_state.m_recordSum = computeRecordSum(departed.m_state);
        departed.m_digest = publishedDigest(departed.m_state);
        fixture.answer(departed);
        REQUIRE_FALSE(fixture.m_client->mayServe(fixture.m_now));
    }
}

TEST_CASE("The client sends commands to the leader")
{
    ClientFixture fixture;
    std::vector<CommandResult> results;
    const auto handler = [&results](CommandResult result) { results.push_back(std::move(result)); };
    const auto submit = [&](CommandBody body, Milliseconds timeout = Milliseconds(500)) {
        fixture.m_client->submit({ CommandId("c1"), {}, {}, std::move(body) }, timeout, handler, fixture.m_now);
    };
    CommandResult opened;
    opened.m_claimOpened = true;

    SECTION("a command that was never sent did not run")
    {
        submit(DropService { ServiceName("verse") });
        fixture.run(Milliseconds(600));
        REQUIRE(results.at(0).m_code == ResultCode::ControlUnavailable);
    }
    // The command may still be applied, so the client must not report that it did not run.
    SECTION("the outcome of a command without an answer is unknown")
    {
        fixture.open();
        submit(DropService { ServiceName("verse") });
        fixture.run(Milliseconds(600));
        REQUIRE(results.at(0).m_code == ResultCode::CommandOutcomeUnknown);
        fixture.answer(CommandReply { fixture.last<CommandRequest>().m_sequence, {} });
        REQUIRE(results.size() == 1);
    }
    SECTION("a command is resent on the link to the next leader")
    {
        fixture.open();
        submit(DropService { ServiceName("verse") });
        const CommandRequest first = fixture.last<CommandRequest>();
        fixture.answer(NotLeader { "leader", first.m_sequence });
        fixture.m_sent.clear();
        fixture.m_client->onLinkOpened(fixture.m_connects.back().first, fixture.m_now);
        REQUIRE(fixture.last<CommandRequest>().m_sequence == first.m_sequence);
        REQUIRE(fixture.last<CommandRequest>().m_command.m_id == CommandId("c1"));
        fixture.answer(CommandReply { first.m_sequence, {} });
        REQUIRE(results.at(0).m_code == ResultCode::Ok);
    }
    SECTION("a claim has the VM of the client and one run number for each attempt")
    {
        fixture.open();
        submit(openClaim("a", "ignored", 0));
        const auto open = std::get<OpenClaim>(fixture.last<CommandRequest>().m_command.m_body);
        REQUIRE(open.m_vm == VmId("vm1"));
        REQUIRE(open.m_run == 1);

        // Otherwise it could settle another run of the same request.
        SECTION("a settlement has the run number of the opened claim")
        {
            fixture.answer(CommandReply { fixture.last<CommandRequest>().m_sequence, opened });
            submit(openClaim("a", "ignored", 0));
            REQUIRE(std::get<OpenClaim>(fixture.last<CommandRequest>().m_command.m_body).m_run == 2);
            submit(settleClaim("a", "ignored", 0, ClaimOutcome::Done));
            REQUIRE(std::get<SettleClaim>(fixture.last<CommandRequest>().m_command.m_body).m_run == 1);
        }
        // The VM reports that the request did not run, so the claim must not stay open if the OpenClaim is applied
        // late.
        SECTION("an OpenClaim that timed out is settled as not run")
        {
            fixture.run(Milliseconds(600));
            REQUIRE(results.at(0).m_code == ResultCode::ControlUnavailable);
            const auto settle = std::get<SettleClaim>(fixture.last<CommandRequest>().m_command.m_body);
            REQUIRE(settle.m_outcome == ClaimOutcome::NotRun);
            REQUIRE(settle.m_run == 1);
            REQUIRE(settle.m_bodyHash == open.m_bodyHash);
        }
        SECTION("a settlement is resent after its handler timed out")
        {
            submit(settleClaim("a", "ignored", 1, ClaimOutcome::Done));
            fixture.run(Milliseconds(900));
            REQUIRE(results.back().m_code != ResultCode::Ok);
            fixture.m_client->onLinkClosed(fixture.m_connects.back().first, fixture.m_now);
            fixture.m_sent.clear();
            fixture.run(Milliseconds(100));
            fixture.m_client->onLinkOpened(fixture.m_connects.back().first, fixture.m_now);
            int settlements = 0;
            for (const ControlMessage& message : fixture.m_sent) {
                const auto* request = std::get_if<CommandRequest>(&message);
                const auto* settle
                    = request != nullptr ? std::get_if<SettleClaim>(&request->m_command.m_body) : nullptr;
                settlements += settle != nullptr && settle->m_outcome == ClaimOutcome::Done ? 1 : 0;
            }
            REQUIRE(settlements == 1);
        }
    }
}
