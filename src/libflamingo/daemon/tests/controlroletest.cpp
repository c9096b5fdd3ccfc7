#include "daemon/tests/controlgroup.h"

using namespace flamingo;
using namespace flamingo::test;

namespace {

constexpr Milliseconds maxAcknowledgement { 5000 }; // time in which users expect an acknowledgement

} // namespace

// Guards against changes that are refused or unanswered for good after the disks of all control VMs were full in turn.
TEST_CASE("changes are acknowledged again once no disk of the control group is full", "[daemon]")
{
    constexpr int vms = 5;
    ControlGroup group(vms);
    int version = 0;
    REQUIRE(group.change(++version, Milliseconds(10000)));
    for (int vm = 0; vm < vms; ++vm) {
        group.setFull(vm, true);
        const MonotonicTime end = monotonicNow() + Milliseconds(1500);
        while (monotonicNow() < end)
            CHECK(group.change(++version, maxAcknowledgement));
        group.setFull(vm, false);
        std::this_thread::sleep_for(Milliseconds(200));
    }
    for (int count = 0; count < 20; ++count)
        REQUIRE(group.change(++version, maxAcknowledgement));
    CHECK(group.call("GET", "/", maxAcknowledgement) == std::to_string(version));
    CHECK_FALSE(group.roleStopped());
}

// Guards against a command that is answered with the result of an entry that was proposed before its log was reopened.
TEST_CASE("a reopened log numbers its commands apart from those before", "[daemon]")
{
    ControlGroup group(1);
    REQUIRE(group.change(1, Milliseconds(10000)));
    const auto proposer = [&group] { return group.onRoles([&group] { return group.role(0).service().proposer(); }); };
    const std::uint64_t before = proposer();
    group.setFull(0, true);
    CHECK_FALSE(group.change(2, Milliseconds(500)));
    group.setFull(0, false);
    REQUIRE(group.change(3, maxAcknowledgement));
    CHECK(proposer() != before);
}
