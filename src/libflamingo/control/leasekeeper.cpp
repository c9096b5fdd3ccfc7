#include "control/leasekeeper.h"

#include "control/leaseperiod.h"

#include <algorithm>

namespace flamingo {

namespace {

// Renewals are sent about once a second and answered within milliseconds, so older ones need not be kept.
constexpr std::size_t maxUnansweredRenewals = 64;

} // namespace

void recordRenewalSent(LeaseKeeper& keeper, std::uint64_t sequence, MonotonicTime sentAt)
{
    keeper.m_unansweredRenewals[sequence] = sentAt;
    if (keeper.m_unansweredRenewals.size() > maxUnansweredRenewals)
        keeper.m_unansweredRenewals.erase(keeper.m_unansweredRenewals.begin());
}

bool applyGrant(LeaseKeeper& keeper, std::uint64_t sequence, Milliseconds remaining)
{
    const auto renewal = keeper.m_unansweredRenewals.find(sequence);
    if (renewal == keeper.m_unansweredRenewals.end())
        return false;
    // A leader never grants more than one lease period; a greater value is an error and must not extend the lease.
    const Milliseconds bounded = std::clamp(remaining, Milliseconds(0), leasePeriod);
    const auto usable = std::chrono::duration_cast<Microseconds>(
        std::chrono::duration<double, std::milli>(static_cast<double>(bounded.count()) * (1.0 - leaseDriftAllowance)));
    const MonotonicTime end = renewal->second + usable;
    keeper.m_validUntil = keeper.m_validUntil ? std::max(*keeper.m_validUntil, end) : end;
    keeper.m_unansweredRenewals.erase(keeper.m_unansweredRenewals.begin(), std::next(renewal));
    return true;
}

void dropLease(LeaseKeeper& keeper)
{
    keeper.m_unansweredRenewals.clear();
    keeper.m_validUntil.reset();
}

bool leaseValid(const LeaseKeeper& keeper, MonotonicTime now)
{
    return keeper.m_validUntil && now < *keeper.m_validUntil;
}

} // namespace flamingo
