#include "forward/reachability.h"

#include <algorithm>

namespace flamingo {

namespace {

// A call without an answer for this long, and for a multiple of the usual time, raises a suspicion if no other call was
// answered meanwhile.
constexpr Milliseconds minOverdueTime { 150 };
constexpr int overdueFactor = 2;
// A reachable endpoint accepts a connection well within this time.
constexpr Milliseconds testTime { 150 };
// Interval of tests while the VM is cut off. Each tries a few connections, which cost reachable endpoints little.
constexpr Milliseconds cutOffTestInterval { 400 };

bool isSuspicious(const EndpointReachability& reachability, MonotonicTime now)
{
    return std::any_of(reachability.m_unanswered.begin(), reachability.m_unanswered.end(),
        [now](const auto& entry) { return entry.second.m_failed || now >= entry.second.m_overdueAt; });
}

ReachabilityAction startTest(EndpointReachability& reachability, std::uint64_t connectionsOpened, MonotonicTime now)
{
    reachability.m_testStartedAt = now;
    reachability.m_connectionsBeforeTest = connectionsOpened;
    return ReachabilityAction::TestConnections;
}

ReachabilityAction updateCutOff(EndpointReachability& reachability, std::uint64_t connectionsOpened, MonotonicTime now)
{
    if (reachability.m_answeredSinceCutOff || connectionsOpened > reachability.m_connectionsBeforeTest) {
        reachability.m_cutOff = false;
        recordAnswer(reachability);
        return ReachabilityAction::Regained;
    }
    if (now - *reachability.m_testStartedAt < cutOffTestInterval)
        return ReachabilityAction::None;
    return startTest(reachability, connectionsOpened, now);
}

} // namespace

void recordCallSent(
    EndpointReachability& reachability, EndpointIndex endpoint, Microseconds usualTime, MonotonicTime now)
{
    const MonotonicTime overdueAt = now + std::max<Microseconds>(minOverdueTime, usualTime * overdueFactor);
    if (reachability.m_unanswered.size() < EndpointReachability::maxUnanswered)
        reachability.m_unanswered.try_emplace(endpoint, EndpointReachability::Unanswered { overdueAt, false });
}

void recordAnswer(EndpointReachability& reachability)
{
    reachability.m_unanswered.clear();
    reachability.m_answeredSinceCutOff = reachability.m_cutOff;
    if (!reachability.m_cutOff)
        reachability.m_testStartedAt.reset();
}

void recordNoAnswer(EndpointReachability& reachability, EndpointIndex endpoint, MonotonicTime now)
{
    recordCallSent(reachability, endpoint, Microseconds(0), now);
    const auto unanswered = reachability.m_unanswered.find(endpoint);
    if (unanswered != reachability.m_unanswered.end())
        unanswered->second.m_failed = true;
}

ReachabilityAction updateReachability(
    EndpointReachability& reachability, std::uint64_t connectionsOpened, MonotonicTime now)
{
    if (reachability.m_cutOff)
        return updateCutOff(reachability, connectionsOpened, now);
    if (!reachability.m_testStartedAt)
        return isSuspicious(reachability, now) ? startTest(reachability, connectionsOpened, now)
                                               : ReachabilityAction::None;
    if (connectionsOpened > reachability.m_connectionsBeforeTest) {
        recordAnswer(reachability);
        return ReachabilityAction::None;
    }
    if (now - *reachability.m_testStartedAt < testTime)
        return ReachabilityAction::None;
    reachability.m_cutOff = true;
    reachability.m_cutOffSince = now;
    ++reachability.m_cutOffCount;
    startTest(reachability, connectionsOpened, now);
    return ReachabilityAction::CutOff;
}

} // namespace flamingo
