#include "control/tests/controlfixture.h"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace flamingo;

namespace {

/** Records the greatest revision that any control VM has reported in force. */
struct InForceObserver {
    Revision m_greatest;

    void observe(const ControlFixture& fixture)
    {
        for (const auto& control : fixture.m_controls) {
            const Revision current = control.m_service->state().m_published.m_revision;
            for (std::uint64_t revision = current.value(); revision > m_greatest.value(); --revision) {
                if (control.m_service->checkInForce(Revision(revision), fixture.m_now))
                    m_greatest = Revision(revision);
            }
        }
    }
    /** Returns whether every VM that may serve has at least the greatest revision that was reported in force. */
    bool holds(ControlFixture& fixture) const
    {
        for (std::size_t index = 0; index < fixture.m_entries.size(); ++index) {
            if (fixture.serves(index) && fixture.m_entries[index].m_deliveredRevision < m_greatest)
                return false;
        }
        return true;
    }
};

void commitNewService(ControlFixture& fixture)
{
    static int number = 0;
    const std::string name = std::to_string(++number);
    fixture.commit(CreateService { ServiceName("service" + name), {} }, "create" + name);
}

} // namespace

TEST_CASE("No VM serves an older state than one in force, under random faults")
{
    rc::prop("every VM that may serve has the revision that was reported in force", []() {
        const auto smallCount = rc::gen::resize(100, rc::gen::inRange<std::size_t>(1, 4));
        const std::size_t controls = *smallCount;
        ControlFixture fixture(controls, *smallCount, *rc::gen::arbitrary<std::uint32_t>());
        for (auto& entry : fixture.m_entries)
            entry.m_clockRate = 1.0 + *rc::gen::inRange(-4, 5) / 1000.0;
        InForceObserver observer;
        // Time for all VMs to start serving before the first fault.
        fixture.run(Milliseconds(4000), Milliseconds(50));
        const int steps = *rc::gen::resize(100, rc::gen::inRange(0, 50));
        for (int step = 0; step < steps; ++step) {
            auto& entry = fixture.m_entries[*rc::gen::inRange<std::size_t>(0, fixture.m_entries.size())];
            const auto control = *rc::gen::inRange<std::size_t>(0, controls);
            switch (*rc::gen::resize(100, rc::gen::inRange(0, 14))) {
            case 0:
                entry.m_frozen = !entry.m_frozen;
                break;
            case 1:
                entry.m_isolated = !entry.m_isolated;
                break;
            case 2:
                fixture.m_controls[fixture.m_leader].m_isolated = controls > 1;
                break;
            case 3:
                if (control != fixture.m_leader)
                    fixture.elect(control);
                break;
            case 4:
                if (control != fixture.m_leader) {
                    fixture.m_controls[control].m_isolated = false;
                    fixture.depose(control);
                }
                break;
            case 5:
            case 6:
                for (auto& healed : fixture.m_entries) {
                    healed.m_frozen = false;
                    healed.m_isolated = false;
                }
                break;
            case 7:
                if (fixture.m_controls[fixture.m_leader].m_isolated)
                    fixture.elect(control);
                break;
            case 8:
                fixture.m_maxDelay = Milliseconds(*rc::gen::inRange(0, 400));
                break;
            default:
                if (!fixture.m_controls[fixture.m_leader].m_isolated)
                    commitNewService(fixture);
            }
            for (int part = *rc::gen::resize(100, rc::gen::inRange(1, 40)); part > 0; --part) {
                fixture.run(Milliseconds(50), Milliseconds(50));
                observer.observe(fixture);
                RC_ASSERT(observer.holds(fixture));
            }
        }
        // After all faults are repaired, a change comes into force and all VMs serve it.
        for (auto& entry : fixture.m_entries) {
            entry.m_frozen = false;
            entry.m_isolated = false;
        }
        fixture.m_maxDelay = Milliseconds(5);
        fixture.elect(fixture.m_leader);
        for (std::size_t index = 0; index < controls; ++index) {
            fixture.m_controls[index].m_isolated = false;
            if (index != fixture.m_leader)
                fixture.depose(index);
        }
        commitNewService(fixture);
        const Revision last = fixture.leader().state().m_published.m_revision;
        fixture.run(Milliseconds(15000), Milliseconds(50));
        RC_ASSERT(fixture.leader().checkInForce(last, fixture.m_now));
        for (std::size_t index = 0; index < fixture.m_entries.size(); ++index) {
            RC_ASSERT(fixture.serves(index));
            RC_ASSERT(fixture.m_entries[index].m_deliveredRevision >= last);
            RC_ASSERT(fixture.m_entries[index].m_client->state()->m_recordSum
                == fixture.leader().state().m_published.m_recordSum);
        }
    });
}
