#include "forward/calltimes.h"

#include <algorithm>

namespace flamingo {

MonotonicTime mergerReplyDeadline(const ForwardExecution& execution, MonotonicTime now)
{
    const Milliseconds goal = execution.m_request.m_route->m_goal;
    return std::max(execution.m_goalAt, now + goal) + goal;
}

MonotonicTime relayReplyDeadline(const ForwardExecution& execution, const ForwardPart& part, MonotonicTime now)
{
    const Route& route = *execution.m_request.m_route;
    if (route.m_idempotence != Idempotence::Idempotent || route.m_goal.count() == 0)
        return MonotonicTime::max();
    const MonotonicTime afterGoal = mergerReplyDeadline(execution, now);
    if (attemptsLeft(part.m_attempts) > 0)
        return afterGoal;
    return std::max(afterGoal, now + (execution.m_deadline - now) / 2);
}

Milliseconds goalLeftForVm(const MergeReserve& reserve, const ForwardExecution& execution, MonotonicTime now)
{
    const MonotonicTime until = std::min(execution.m_goalAt, execution.m_deadline);
    return std::chrono::duration_cast<Milliseconds>(until - now) - mergeReserveWithin(reserve, until - now);
}

} // namespace flamingo
