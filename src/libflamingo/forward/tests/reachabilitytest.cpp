#include "forward/reachability.h"

#include <catch2/catch.hpp>

using namespace flamingo;

namespace {

MonotonicTime at(int milliseconds) { return MonotonicTime(std::chrono::hours(1)) + Milliseconds(milliseconds); }

} // namespace

TEST_CASE("a VM tells the loss of its own links from endpoints that do not answer", "[forward]")
{
    EndpointReachability reachability;
    std::uint64_t opened = 40;
    const auto update = [&](int time) { return updateReachability(reachability, opened, at(time)); };
    recordCallSent(reachability, EndpointIndex(1), Milliseconds(20), at(0));
    CHECK(update(100) == ReachabilityAction::None);

    SECTION("an answer of any endpoint removes the suspicion")
    {
        recordCallSent(reachability, EndpointIndex(2), Milliseconds(20), at(90));
        recordAnswer(reachability);
        CHECK(update(300) == ReachabilityAction::None);
    }
    SECTION("a call that usually takes long is not suspicious before that time")
    {
        recordAnswer(reachability);
        recordCallSent(reachability, EndpointIndex(1), Milliseconds(180), at(100));
        CHECK(update(400) == ReachabilityAction::None);
        CHECK(update(460) == ReachabilityAction::TestConnections);
    }
    SECTION("an endpoint that pauses while no other is called raises a test, which succeeds")
    {
        CHECK(update(200) == ReachabilityAction::TestConnections);
        ++opened;
        CHECK(update(300) == ReachabilityAction::None);
        CHECK(update(500) == ReachabilityAction::None);
        CHECK_FALSE(reachability.m_cutOff);
    }
    SECTION("a call that fails at once raises a test without delay")
    {
        recordNoAnswer(reachability, EndpointIndex(1), at(101));
        CHECK(update(102) == ReachabilityAction::TestConnections);
    }
    SECTION("without an answer and with test connections in vain, the VM is cut off")
    {
        CHECK(update(200) == ReachabilityAction::TestConnections);
        CHECK(update(300) == ReachabilityAction::None);
        CHECK(update(400) == ReachabilityAction::CutOff);
        CHECK(reachability.m_cutOff);

        SECTION("it goes on testing, and a connection ends the cut")
        {
            CHECK(update(500) == ReachabilityAction::None);
            CHECK(update(800) == ReachabilityAction::TestConnections);
            ++opened;
            CHECK(update(900) == ReachabilityAction::Regained);
            CHECK(update(2000) == ReachabilityAction::None);
        }
        SECTION("a late answer ends the cut")
        {
            recordAnswer(reachability);
            CHECK(update(500) == ReachabilityAction::Regained);
            CHECK_FALSE(reachability.m_cutOff);
        }
    }
    SECTION("the state stays small while calls to many endpoints hang")
    {
        for (std::uint32_t endpoint = 0; endpoint < 1000; ++endpoint)
            recordNoAnswer(reachability, EndpointIndex(endpoint), at(50));
        CHECK(reachability.m_unanswered.size() == EndpointReachability::maxUnanswered);
    }
}
