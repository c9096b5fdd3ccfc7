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
    Revision m_confirmed; // greatest revision that the holder has reported as applied
};

/**
 * Leases granted by the leader, held in memory only.
 *
 * The holder of each valid lease has confirmed a revision at or above the floor, and the floor never decreases. A
 * command at or below the floor is in force once the leases of earlier leaders have ended.
 */
struct LeaseTable {
    std::map<std::pair<VmId, Incarnation>, Lease> m_leases;
    Revision m_floor;
};

/** Numbers of lease holders with regard to one revision. */
struct HolderCount {
    std::uint32_t m_confirmed = 0; // holders that have confirmed the revision
    std::uint32_t m_total = 0;
};

// The functions below are not thread-safe for one table.

/** Grants or extends a lease. Returns false and changes nothing if the revision is below the floor. */
bool grantLease(LeaseTable& table, const VmId& vm, Incarnation incarnation, Revision confirmed, MonotonicTime endsAt);

/** Ends a lease at the request of its holder. */
void endLease(LeaseTable& table, const VmId& vm, Incarnation incarnation);

/** Records that a holder has applied a revision; has no effect without a valid lease. */
void confirmRevision(LeaseTable& table, const VmId& vm, Incarnation incarnation, Revision confirmed, MonotonicTime now);

/** Returns whether the VM process holds a valid lease. */
bool holdsLease(const LeaseTable& table, const VmId& vm, Incarnation incarnation, MonotonicTime now);

/**
 * Erases ended leases and raises the floor to the lowest of the revisions confirmed by the holders, but not above the
 * requested one: a floor higher than needed would refuse leases without benefit.
 */
void raiseFloor(LeaseTable& table, Revision requested, MonotonicTime now);

/** Counts the holders of valid leases, and those of them that have confirmed the revision. */
HolderCount countHolders(const LeaseTable& table, Revision revision, MonotonicTime now);

} // namespace flamingo
