#include "control/tests/controlfixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace flamingo;

TEST_CASE("Racing operator commands through several VMs have one winner")
{
    rc::prop("exactly one command succeeds and reports success, also when the leader changes", []() {
        ControlFixture fixture(3, 3, *rc::gen::arbitrary<std::uint32_t>());
        fixture.commit(CreateService { ServiceName("verse"), {} }, "create");
        fixture.run(Milliseconds(4000));
        std::vector<std::optional<CommandResult>> results(20);
        for (std::size_t index = 0; index < results.size(); ++index) {
            Command command { CommandId("race" + std::to_string(index)), ConfigurationVersion(1), {},
                AlterService { ServiceName("verse"), {} } };
            auto& entry = fixture.m_entries[index % 3];
            entry.m_client->submit(
                command, Milliseconds(30000), [&results, index](CommandResult result) { results[index] = result; },
                fixture.clock(entry));
        }
        // The first leader proposes some of the commands, then its answers may be lost.
        const auto cutAfter = *rc::gen::resize(100, rc::gen::inRange(0, 200));
        fixture.run(Milliseconds(cutAfter), Milliseconds(1));
        fixture.m_controls[0].m_isolated = *rc::gen::arbitrary<bool>();
        fixture.run(Milliseconds(*rc::gen::inRange(0, 1000)));
        fixture.elect(1);
        fixture.run(Milliseconds(*rc::gen::inRange(0, 2000)));
        fixture.depose(0);
        fixture.m_controls[0].m_isolated = false;
        fixture.run(Milliseconds(12000), Milliseconds(50));
        std::size_t winners = 0;
        for (const auto& result : results) {
            RC_ASSERT(result.has_value());
            winners += result->m_code == ResultCode::Ok ? 1 : 0;
            RC_ASSERT(result->m_code == ResultCode::Ok || result->m_code == ResultCode::VersionMismatch);
            RC_ASSERT(result->m_version == ConfigurationVersion(2));
        }
        RC_ASSERT(winners == 1U);
        RC_ASSERT(fixture.leader().state().m_published.m_configurationVersion == ConfigurationVersion(2));
    });
}

namespace {

/** Runs one request through entry VMs: opens a claim, sends once if the lease is valid, settles the claim. */
struct RequestRunner {
    ControlFixture& m_fixture;
    int m_executions = 0;

    void start(std::size_t index, bool refuse, bool loseAnswer)
    {
        auto& entry = m_fixture.m_entries[index];
        entry.m_client->submit(
            { {}, {}, {}, openClaim("order", "", 0) }, Milliseconds(800),
            [this, index, refuse, loseAnswer](const CommandResult& result) {
                if (result.m_claimOpened)
                    send(index, refuse, loseAnswer);
            },
            m_fixture.clock(entry));
    }
    void send(std::size_t index, bool refuse, bool loseAnswer)
    {
        // Nothing is sent without a lease, and an endpoint that refuses the request does not run it.
        const bool runs = m_fixture.serves(index) && !refuse;
        m_executions += runs ? 1 : 0;
        const ClaimOutcome sent = loseAnswer ? ClaimOutcome::Unknown : ClaimOutcome::Done;
        auto& entry = m_fixture.m_entries[index];
        entry.m_client->submit(
            { {}, {}, {}, settleClaim("order", "", 0, runs ? sent : ClaimOutcome::NotRun) }, Milliseconds(800),
            [](const CommandResult&) {}, m_fixture.clock(entry));
    }
};

} // namespace

TEST_CASE("A request that is resent through several VMs runs at most once")
{
    rc::prop("the request runs at most once despite lost answers, frozen VMs and leader changes", []() {
        ControlFixture fixture(3, 3, *rc::gen::arbitrary<std::uint32_t>());
        fixture.commit(CreateService { ServiceName("orders"), {} }, "create");
        fixture.run(Milliseconds(4000), Milliseconds(50));
        RequestRunner runner { fixture };
        const int steps = *rc::gen::resize(100, rc::gen::inRange(1, 30));
        for (int step = 0; step < steps; ++step) {
            const auto index = *rc::gen::resize(100, rc::gen::inRange<std::size_t>(0, 3));
            switch (*rc::gen::resize(100, rc::gen::inRange(0, 10))) {
            case 0:
                fixture.m_entries[index].m_frozen = !fixture.m_entries[index].m_frozen;
                break;
            case 1:
                fixture.m_entries[index].m_isolated = !fixture.m_entries[index].m_isolated;
                break;
            case 2:
                fixture.m_controls[fixture.m_leader].m_isolated = true;
                break;
            case 3:
            case 4:
                fixture.elect(index);
                break;
            case 5:
                if (index != fixture.m_leader)
                    fixture.depose(index);
                break;
            default:
                runner.start(index, *rc::gen::arbitrary<bool>(), *rc::gen::arbitrary<bool>());
            }
            fixture.run(Milliseconds(*rc::gen::resize(100, rc::gen::inRange(1, 1500))), Milliseconds(50));
            RC_ASSERT(runner.m_executions <= 1);
        }
        RC_CLASSIFY(runner.m_executions == 1, "ran once");
    });
}
