#include "control/leasetable.h"

#include <algorithm>

namespace flamingo {

bool grantLease(LeaseTable& table, const VmId& vm, Incarnation incarnation, Revision confirmed, MonotonicTime endsAt)
{
    if (confirmed < table.m_floor)
        return false;
    Lease& lease = table.m_leases[{ vm, incarnation }];
    lease.m_confirmed = std::max(lease.m_confirmed, confirmed);
    lease.m_endsAt = std::max(lease.m_endsAt, endsAt);
    return true;
}

void endLease(LeaseTable& table, const VmId& vm, Incarnation incarnation) { table.m_leases.erase({ vm, incarnation }); }

void confirmRevision(LeaseTable& table, const VmId& vm, Incarnation incarnation, Revision confirmed, MonotonicTime now)
{
    const auto lease = table.m_leases.find({ vm, incarnation });
    if (lease != table.m_leases.end() && lease->second.m_endsAt > now)
        lease->second.m_confirmed = std::max(lease->second.m_confirmed, confirmed);
}

bool holdsLease(const LeaseTable& table, const VmId& vm, Incarnation incarnation, MonotonicTime now)
{
    const auto lease = table.m_leases.find({ vm, incarnation });
    return lease != table.m_leases.end() && lease->second.m_endsAt > now;
}

void raiseFloor(LeaseTable& table, Revision requested, MonotonicTime now)
{
    Revision lowest = requested;
    for (auto lease = table.m_leases.begin(); lease != table.m_leases.end();) {
        if (lease->second.m_endsAt <= now) {
            lease = table.m_leases.erase(lease);
            continue;
        }
        lowest = std::min(lowest, lease->second.m_confirmed);
        ++lease;
    }
    table.m_floor = std::max(table.m_floor, lowest);
}

HolderCount countHolders(const LeaseTable& table, Revision revision, MonotonicTime now)
{
    HolderCount count;
    for (const auto& [holder, lease] : table.m_leases) {
        if (lease.m_endsAt <= now)
            continue;
        ++count.m_total;
        count.m_confirmed += lease.m_confirmed >= revision ? 1 : 0;
    }
    return count;
}

} // namespace flamingo
