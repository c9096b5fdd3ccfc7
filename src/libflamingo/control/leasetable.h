#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "control/leaseperiod.h"

#include <cstdint>
#include <map>
#include <utility>

namespace flamingo {

/** A lease that the leader granted to one process of an entry VM. */
struct Lease {
    MonotonicTime m_endsAt;
    Revision m_confirmed; // greatest revision that the holder reported as applied
};

/**
 * Leases as the leader knows them, in memory only.
 *
 * Each valid lease has confirmed the floor, and the floor never falls. A command at or below the
 * floor is in force once the leases of earlier leaders have ended.
 */
struct LeaseTable {
    std::map<std::pair<VmId, Incarnation>, Lease> m_leases;
    Revision m_floor;
};

struct HolderCount {
    std::uint32_t m_confirmed = 0;
    std::uint32_t m_total = 0;
};

// None of these is thread-safe for one table.

/** Grants or extends a lease. Returns false if the revision is below the floor; nothing changes then. */
bool grantLease(LeaseTable& table, const VmId& vm, Incarnation incarnation, Revision confirmed, MonotonicTime endsAt);

/** Ends a lease at the holder's own wish. */
void endLease(LeaseTable& table, const VmId& vm, Incarnation incarnation);

/** Notes that a holder has applied a revision; does nothing without a valid lease. */
void confirmRevision(LeaseTable& table, const VmId& vm, Incarnation incarnation, Revision confirmed, MonotonicTime now);

/** Returns whether the process holds a lease. */
bool holdsLease(const LeaseTable& table, const VmId& vm, Incarnation incarnation, MonotonicTime now);

/**
 * Forgets ended leases and raises the floor to the lowest revision that all holders confirmed, but
 * not above the wanted one: a floor that is higher than needed refuses leases without use.
 */
void raiseFloor(LeaseTable& table, Revision wanted, MonotonicTime now);

/** Returns how many holders have confirmed the revision, out of all. */
HolderCount countHolders(const LeaseTable& table, Revision revision, MonotonicTime now);

} // namespace flamingo
