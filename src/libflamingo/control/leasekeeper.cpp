#include "control/leasekeeper.h"

#include "control/leaseperiod.h"

#include <algorithm>

namespace flamingo {

namespace {

// Renewals are sent once a second and answered within milliseconds; older ones have no use.
constexpr std::size_t maximumOpenRenewals = 64;

} // namespace

void noteRenewal(LeaseKeeper& keeper, std::uint64_t sequence, MonotonicTime sentAt)
{
    keeper.m_renewals[sequence] = sentAt;
    if (keeper.m_renewals.size() > maximumOpenRenewals)
        keeper.m_renewals.erase(keeper.m_renewals.begin());
}

bool takeGrant(LeaseKeeper& keeper, std::uint64_t sequence, Milliseconds remaining)
{
    const auto renewal = keeper.m_renewals.find(sequence);
    if (renewal == keeper.m_renewals.end())
        return false;
    // A leader never grants more than a period; another value is an error and must not be believed.
    const Milliseconds bounded = std::clamp(remaining, Milliseconds(0), leasePeriod);
    const auto usable = std::chrono::duration_cast<Microseconds>(
        std::chrono::duration<double, std::milli>(static_cast<double>(bounded.count()) * (1.0 - leaseDriftAllowance)));
    const MonotonicTime end = renewal->second + usable;
    keeper.m_validUntil = keeper.m_validUntil ? std::max(*keeper.m_validUntil, end) : end;
    keeper.m_renewals.erase(keeper.m_renewals.begin(), std::next(renewal));
    return true;
}

void dropLease(LeaseKeeper& keeper)
{
    keeper.m_renewals.clear();
    keeper.m_validUntil.reset();
}

bool leaseValid(const LeaseKeeper& keeper, MonotonicTime now)
{
    return keeper.m_validUntil && now < *keeper.m_validUntil;
}

} // namespace flamingo
