#include "control/deltahistory.h"
#include "control/applychange.h"
#include "control/codec.h"
#include "control/digest.h"
#include "control/tests/commandmaker.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace flamingo;

namespace {

/** A state machine with its delta history, as on a control VM. */
struct Leader {
    ControlState m_state;
    DeltaHistory m_history;

    Leader() { m_history.reset(m_state.m_published); }
    void run(const Command& command)
    {
        std::vector<Change> changes;
        const Revision before = m_state.m_published.m_revision;
        apply(m_state, command, changes);
        if (m_state.m_published.m_revision != before)
            m_history.push(m_state.m_published, std::move(changes));
    }
};

} // namespace

TEST_CASE("Deltas rebuild the state")
{
    rc::prop("a VM has the same state as the leader after any series of deltas", []() {
        Leader leader;
        PublishedState vm;
        const auto commands = *rc::gen::container<std::vector<Command>>(anyCommand());
        for (const Command& command : commands) {
            leader.run(command);
            RC_ASSERT(leader.m_state.m_published.m_recordSum == computeRecordSum(leader.m_state.m_published));
            if (*rc::gen::inRange(0, 3) > 0)
                continue;
            const auto delta = leader.m_history.deltaFrom(vm.m_revision, publishedDigest(vm));
            RC_ASSERT(delta.has_value());
            RC_ASSERT(applyDelta(vm, *delta));
            // Compares all records through the encoding.
            RC_ASSERT(encodePublishedState(vm) == encodePublishedState(leader.m_state.m_published));
        }
    });
}

TEST_CASE("A delta needs a known base")
{
    Leader leader;
    const auto alter = [&leader](int index) {
        leader.run({ CommandId("c" + std::to_string(index)), {}, LogTime(1),
            CreateService { ServiceName("s" + std::to_string(index % 10)), {} } });
        leader.run({ CommandId("d" + std::to_string(index)), {}, LogTime(1),
            DropService { ServiceName("s" + std::to_string(index % 10)) } });
    };
    const std::uint64_t emptyDigest = publishedDigest({});
    alter(1);
    REQUIRE(leader.m_history.deltaFrom(Revision(0), emptyDigest));
    REQUIRE(leader.m_history.deltaFrom(Revision(0), emptyDigest)->m_changes.size() == 1);

    SECTION("there is no delta for a base with another digest")
    {
        REQUIRE_FALSE(leader.m_history.deltaFrom(Revision(0), emptyDigest + 1));
    }
    // Such a base comes from another cluster.
    SECTION("there is no delta for a base newer than the state")
    {
        REQUIRE_FALSE(leader.m_history.deltaFrom(Revision(3), emptyDigest));
    }
    SECTION("there is no delta for a base that is no longer kept")
    {
        for (int index = 2; index < 2048; ++index)
            alter(index);
        REQUIRE(leader.m_state.m_published.m_revision == Revision(4094));
        REQUIRE(leader.m_history.deltaFrom(Revision(0), emptyDigest));
        alter(3000);
        alter(3001);
        REQUIRE_FALSE(leader.m_history.deltaFrom(Revision(0), emptyDigest));
        REQUIRE(leader.m_history.digestAt(Revision(2)));
    }
    SECTION("a VM detects that its state is corrupt")
    {
        PublishedState vm;
        vm.m_services[ServiceName("damage")] = {};
        vm.m_recordSum = computeRecordSum(vm);
        REQUIRE_FALSE(applyDelta(vm, *leader.m_history.deltaFrom(Revision(0), emptyDigest)));
    }
}
