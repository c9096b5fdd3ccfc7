#include "forward/attemptallowance.h"

#include <algorithm>

namespace flamingo {

namespace {

// The first call and a hedge.
constexpr std::uint32_t attemptsWithHedge = 2;

} // namespace

std::uint32_t attemptsLeft(const AttemptAllowance& allowance)
{
    return allowance.m_allowed - std::min(allowance.m_allowed, allowance.m_used);
}

std::uint32_t attemptsToGrant(const AttemptAllowance& allowance)
{
    const std::uint32_t left = attemptsLeft(allowance);
    return left > attemptsWithHedge ? left - 1 : left;
}

void takeAttempts(AttemptAllowance& allowance, std::uint32_t count) { allowance.m_used += count; }

void returnAttempts(AttemptAllowance& allowance, std::uint32_t count)
{
    allowance.m_used -= std::min(allowance.m_used, count);
}

std::uint32_t unusedAttempts(std::uint32_t taken, bool notRun, std::optional<std::uint32_t> usedAttempts)
{
    if (notRun)
        return taken;
    return taken - std::min(taken, usedAttempts.value_or(taken));
}

} // namespace flamingo
