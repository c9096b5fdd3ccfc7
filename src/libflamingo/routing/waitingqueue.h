#pragma once

#include "base/ids.h"
#include "base/strongvalue.h"
#include "routing/turnrate.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace flamingo {

/** Number of an execution at this daemon; never reused. */
using ExecutionId = StrongValue<struct ExecutionIdTag, std::uint64_t>;

/** An execution that waits until an endpoint of a service has room. */
struct WaitingEntry {
    ExecutionId m_execution;
    CustomerName m_customer; // empty for none
    double m_weight = 1.0; // of the customer, in any unit that is the same for all customers; above 0
    std::uint32_t m_priority = 0; // 0 is the most urgent
};

/**
 * Executions that wait for room at the endpoints of one service, and how much of it each customer has had.
 *
 * Room goes to customers in proportion to their weights, whatever each of them sends. Within that, urgent requests come
 * first: each level of priority counts as much as a few requests that a customer had less than its share. So urgent
 * requests of one customer precede the others' less urgent ones, but cannot keep them waiting for good. A plain value,
 * used on one event loop.
 */
struct WaitingQueue {
    std::vector<WaitingEntry> m_entries; // in order of arrival
    std::map<CustomerName, double> m_used; // room that each customer has had, as requests of a customer of mean weight
    double m_level = 0.0; // customers that were idle start from here
    TurnRate m_turnRate;
};

/** Adds an entry, unless its execution waits already. */
void enqueue(WaitingQueue& queue, WaitingEntry entry, MonotonicTime now);

/** Removes an execution that is served now, and charges its customer for it. */
void dequeueServed(WaitingQueue& queue, ExecutionId execution, MonotonicTime now);

/** Removes an execution that waits no longer. */
void removeWaiting(WaitingQueue& queue, ExecutionId execution);

/** Returns how many executions would be served before the entry if nothing else arrived. Thread-safe. */
std::size_t turnsBefore(const WaitingQueue& queue, const WaitingEntry& entry);

/** Returns the execution that is served next, or nothing if none waits. Thread-safe. */
std::optional<ExecutionId> nextWaiting(const WaitingQueue& queue);

} // namespace flamingo
