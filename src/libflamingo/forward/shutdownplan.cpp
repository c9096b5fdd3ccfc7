#include "forward/shutdownplan.h"

#include <algorithm>

namespace flamingo {

namespace {

// The process ends this long before the end of the grace period, so that it is not killed while it closes.
constexpr Milliseconds graceMargin { 500 };
// Time to write the last answers.
constexpr Milliseconds answerMargin { 200 };

} // namespace

ShutdownPlan makeShutdownPlan(MonotonicTime now, Milliseconds grace)
{
    ShutdownPlan plan;
    plan.m_acceptUntil = now + grace / 2;
    plan.m_endAt = now + grace - std::min(graceMargin, grace);
    plan.m_answerBy = std::max(now, plan.m_endAt - answerMargin);
    return plan;
}

bool acceptsRequest(const ShutdownPlan& plan, Milliseconds timeout, MonotonicTime now)
{
    return now < plan.m_acceptUntil || now + timeout <= plan.m_answerBy;
}

} // namespace flamingo
