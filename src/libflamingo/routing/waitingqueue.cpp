#include "routing/waitingqueue.h"

#include <algorithm>

namespace flamingo {

namespace {

// Requests beyond its share that a customer may have had while its urgent request still precedes less urgent ones.
constexpr double requestsPerPriority = 4.0;
constexpr std::uint32_t maxPriority = 16; // lower ones are as little urgent
// Customers that have used less than the level are forgotten beyond this number.
constexpr std::size_t maxCustomers = 4096;

double usedBy(const WaitingQueue& queue, const CustomerName& customer)
{
    const auto used = queue.m_used.find(customer);
    return used == queue.m_used.end() ? queue.m_level : std::max(used->second, queue.m_level);
}

double priorityCost(const WaitingEntry& entry) { return requestsPerPriority * std::min(entry.m_priority, maxPriority); }

double order(const WaitingQueue& queue, const WaitingEntry& entry)
{
    return usedBy(queue, entry.m_customer) + priorityCost(entry);
}

double meanWeight(const WaitingQueue& queue)
{
    double sum = 0.0;
    for (const WaitingEntry& entry : queue.m_entries)
        sum += entry.m_weight;
    return sum / double(queue.m_entries.size());
}

// The level is the least that a waiting customer has used, so that one that returns gets no credit for its absence.
void raiseLevel(WaitingQueue& queue)
{
    if (queue.m_entries.empty())
        return;
    double least = usedBy(queue, queue.m_entries.front().m_customer);
    for (const WaitingEntry& entry : queue.m_entries)
        least = std::min(least, usedBy(queue, entry.m_customer));
    queue.m_level = std::max(queue.m_level, least);
    if (queue.m_used.size() <= maxCustomers)
        return;
    for (auto used = queue.m_used.begin(); used != queue.m_used.end();)
        used = used->second <= queue.m_level ? queue.m_used.erase(used) : std::next(used);
}

std::vector<WaitingEntry>::iterator findEntry(WaitingQueue& queue, ExecutionId execution)
{
    return std::find_if(queue.m_entries.begin(), queue.m_entries.end(),
        [execution](const WaitingEntry& entry) { return entry.m_execution == execution; });
}

} // namespace

void enqueue(WaitingQueue& queue, WaitingEntry entry, MonotonicTime now)
{
    if (findEntry(queue, entry.m_execution) != queue.m_entries.end())
        return;
    if (queue.m_entries.empty())
        beginWaiting(queue.m_turnRate, now);
    queue.m_entries.push_back(std::move(entry));
}

void dequeueServed(WaitingQueue& queue, ExecutionId execution, MonotonicTime now)
{
    const auto found = findEntry(queue, execution);
    if (found == queue.m_entries.end())
        return;
    recordTurn(queue.m_turnRate, now);
    queue.m_used[found->m_customer] = usedBy(queue, found->m_customer) + meanWeight(queue) / found->m_weight;
    removeWaiting(queue, execution);
}

void removeWaiting(WaitingQueue& queue, ExecutionId execution)
{
    const auto found = findEntry(queue, execution);
    if (found == queue.m_entries.end())
        return;
    queue.m_entries.erase(found);
    raiseLevel(queue);
}

std::size_t turnsBefore(const WaitingQueue& queue, const WaitingEntry& entry)
{
    if (queue.m_entries.empty())
        return 0;
    const double mean = meanWeight(queue);
    std::vector<const WaitingEntry*> byUrgency;
    for (const WaitingEntry& other : queue.m_entries)
        byUrgency.push_back(&other);
    std::stable_sort(byUrgency.begin(), byUrgency.end(),
        [](const WaitingEntry* a, const WaitingEntry* b) { return priorityCost(*a) < priorityCost(*b); });
    // What the customer of each entry will have used when it comes to this entry.
    std::map<CustomerName, double> used;
    std::vector<double> orders;
    for (const WaitingEntry* other : byUrgency) {
        double& usedByCustomer = used.try_emplace(other->m_customer, usedBy(queue, other->m_customer)).first->second;
        orders.push_back(usedByCustomer + priorityCost(*other));
        if (other->m_customer != entry.m_customer || priorityCost(*other) <= priorityCost(entry))
            usedByCustomer += mean / other->m_weight;
    }
    const auto own = used.find(entry.m_customer);
    const double ownOrder = (own == used.end() ? usedBy(queue, entry.m_customer) : own->second) + priorityCost(entry);
    return static_cast<std::size_t>(std::count_if(
        orders.begin(), orders.end(), [ownOrder](double orderOfOther) { return orderOfOther <= ownOrder; }));
}

std::optional<ExecutionId> nextWaiting(const WaitingQueue& queue)
{
    const auto first = std::min_element(queue.m_entries.begin(), queue.m_entries.end(),
        [&queue](const WaitingEntry& a, const WaitingEntry& b) { return order(queue, a) < order(queue, b); });
    return first == queue.m_entries.end() ? std::nullopt : std::optional(first->m_execution);
}

} // namespace flamingo
