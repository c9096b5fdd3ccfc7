#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace flamingo {

// Clock rates of two VMs may differ by this fraction; a holder ends its lease that much earlier.
constexpr double leaseDriftAllowance = 0.01;

/**
 * The lease of this entry VM. It is measured on the VM's monotonic clock from the time at which each renewal was
 * sent, so that a delayed or repeated answer never extends it.
 */
struct LeaseKeeper {
    std::map<std::uint64_t, MonotonicTime> m_unansweredRenewals; // send times, by sequence
    std::optional<MonotonicTime> m_validUntil; // end of the lease
};

// The functions below are not thread-safe for one keeper.

/** Records that a renewal is about to be sent. To be called before the bytes can leave the process. */
void recordRenewalSent(LeaseKeeper& keeper, std::uint64_t sequence, MonotonicTime sentAt);

/** Extends the lease by a grant. Returns false and changes nothing if the grant answers no unanswered renewal. */
bool applyGrant(LeaseKeeper& keeper, std::uint64_t sequence, Milliseconds remaining);

/** Ends the lease and ignores answers to renewals that are already sent. */
void dropLease(LeaseKeeper& keeper);

/** Returns whether the lease is valid at the given time. */
bool leaseValid(const LeaseKeeper& keeper, MonotonicTime now);

} // namespace flamingo
