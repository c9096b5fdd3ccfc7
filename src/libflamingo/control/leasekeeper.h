#pragma once

#include "base/time.h"

#include <cstdint>
#include <map>
#include <optional>

namespace flamingo {

// Clocks of VMs may run apart by this fraction; a holder gives up its lease that much earlier.
constexpr double leaseDriftAllowance = 0.01;

/**
 * The lease of this entry VM, counted on its own monotonic clock from the moment each renewal was
 * sent, so that a slow or repeated answer never lengthens it.
 */
struct LeaseKeeper {
    std::map<std::uint64_t, MonotonicTime> m_renewals; // sent and not answered, by sequence
    std::optional<MonotonicTime> m_validUntil;
};

// None of these is thread-safe for one keeper.

/** Notes that a renewal is about to be sent. Call before the bytes can leave the process. */
void noteRenewal(LeaseKeeper& keeper, std::uint64_t sequence, MonotonicTime sentAt);

/** Takes a grant; returns false if it answers no renewal that is waited for. */
bool takeGrant(LeaseKeeper& keeper, std::uint64_t sequence, Milliseconds remaining);

/** Gives up the lease. */
void dropLease(LeaseKeeper& keeper);

/** Returns whether the lease is valid at the time. */
bool leaseValid(const LeaseKeeper& keeper, MonotonicTime now);

} // namespace flamingo
