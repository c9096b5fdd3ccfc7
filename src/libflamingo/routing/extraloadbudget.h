#pragma once

#include <algorithm>
#include <cstdint>

namespace flamingo {

/**
 * Token bucket that bounds the hedges, retries and duplicates of a service.
 *
 * Invariant: m_spent <= m_burst + m_fraction * m_firstAttempts.
 */
struct ExtraLoadBudget {
    double m_fraction = 0.05;
    double m_burst = 10.0;
    double m_tokens = 10.0;
    std::uint64_t m_firstAttempts = 0;
    std::uint64_t m_spent = 0;
    std::uint64_t m_denied = 0;
};

/** Adds m_fraction of a token for the first attempt at a shard. */
inline void earnExtraLoad(ExtraLoadBudget& budget)
{
    ++budget.m_firstAttempts;
    budget.m_tokens = std::min(budget.m_burst, budget.m_tokens + budget.m_fraction);
}

/** Takes one token for an extra request; returns false if none is left. */
inline bool spendExtraLoad(ExtraLoadBudget& budget)
{
    if (budget.m_tokens < 1.0) {
        ++budget.m_denied;
        return false;
    }
    budget.m_tokens -= 1.0;
    ++budget.m_spent;
    return true;
}

/** Gives back the token of a request that was never sent. */
inline void refundExtraLoad(ExtraLoadBudget& budget)
{
    if (budget.m_spent == 0)
        return;
    --budget.m_spent;
    budget.m_tokens = std::min(budget.m_burst, budget.m_tokens + 1.0);
}

} // namespace flamingo
