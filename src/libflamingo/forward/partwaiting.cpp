#include "forward/partwaiting.h"

#include "forward/partplacement.h"

#include <utility>

namespace flamingo {

namespace {

WaitingEntry waitingEntry(const ForwardState& state, const ForwardExecution& execution)
{
    const ForwardRequest& request = execution.m_request;
    const CustomerPtr customer = findCustomer(state.m_customers, request.m_customer);
    const bool limited = customer && customer->m_quota.isLimited();
    return { execution.m_id, request.m_customer, limited ? customer->m_quota.m_rate.value() : 1.0, request.m_priority };
}

} // namespace

WaitingQueue& queueOf(ForwardState& state, const ForwardPart& part)
{
    return serviceStats(routingOfPart(state, part), part.m_service).m_routedQueue;
}

void beginWaiting(ForwardState& state, const ForwardExecution& execution, ForwardPart& part, MonotonicTime now)
{
    enqueue(queueOf(state, part), waitingEntry(state, execution), now);
    part.m_waiting = true;
}

void endWaiting(ForwardState& state, const ForwardExecution& execution, ForwardPart& part, MonotonicTime now)
{
    if (std::exchange(part.m_waiting, false))
        dequeueServed(queueOf(state, part), execution.m_id, now);
}

void abandonWaiting(ForwardState& state, const ForwardExecution& execution, ForwardPart& part)
{
    if (std::exchange(part.m_waiting, false))
        removeWaiting(queueOf(state, part), execution.m_id);
}

std::optional<Milliseconds> timeUntilRoomFor(
    ForwardState& state, const ForwardExecution& execution, const ForwardPart& part, MonotonicTime now)
{
    if (part.callsVm() || !execution.m_request.m_route->m_shards.empty())
        return std::nullopt;
    const WaitingQueue& queue = queueOf(state, part);
    const std::size_t before = turnsBefore(queue, waitingEntry(state, execution));
    const auto roomAfter = timeUntilRoom(queue.m_turnRate, before, execution.m_deadline - now);
    return roomAfter ? std::optional(spreadRetryAfter(state, *roomAfter)) : std::nullopt;
}

} // namespace flamingo
