#pragma once

#include <cstdint>
#include <optional>

namespace flamingo {

/**
 * How often one part of a request may be sent to an endpoint: by hedges and retries, on all VMs that work on it.
 *
 * A VM that lets another one call endpoints grants it attempts from here, so that no VM starts from zero. The functions
 * are thread-safe.
 */
struct AttemptAllowance {
    std::uint32_t m_allowed = 1; // by the route, or by the VM that granted them
    std::uint32_t m_used = 0; // ran, may have run, or are granted to another VM
};

/** Returns the attempts that are left. */
std::uint32_t attemptsLeft(const AttemptAllowance& allowance);

/**
 * Returns how many attempts to grant another VM: all that are left, or all but one if it can still hedge then.
 *
 * A VM that is lost while it works may have used all that it was granted. The one kept back lets a further VM take
 * over.
 */
std::uint32_t attemptsToGrant(const AttemptAllowance& allowance);

/** Takes attempts for a call. Precondition: as many are left. */
void takeAttempts(AttemptAllowance& allowance, std::uint32_t count);

/** Returns attempts that certainly did not run. Precondition: they were taken. */
void returnAttempts(AttemptAllowance& allowance, std::uint32_t count);

/**
 * Returns how many of the attempts taken for a call certainly did not run.
 *
 * notRun says that the whole call did not. usedAttempts is what another VM reports; unset if it reports nothing, and
 * then it may have used all.
 */
std::uint32_t unusedAttempts(std::uint32_t taken, bool notRun, std::optional<std::uint32_t> usedAttempts);

} // namespace flamingo
