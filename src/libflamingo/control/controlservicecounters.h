#pragma once

#include <cstdint>

namespace flamingo {

/** Counts since the start of the process, for metrics. */
struct ControlServiceCounters {
    std::uint64_t m_applied = 0; // log entries
    std::uint64_t m_renewals = 0;
    std::uint64_t m_endpointRenewals = 0;
    std::uint64_t m_grants = 0;
    std::uint64_t m_withheldNotAdmitted = 0; // the VM is not yet admitted or has not applied its admission
    std::uint64_t m_withheldBehind = 0; // the VM's state is older than what may be in force
    std::uint64_t m_withheldNoRound = 0; // no majority confirmed this leader lately
    std::uint64_t m_deltas = 0;
    std::uint64_t m_fullCopies = 0;
    std::uint64_t m_stateBytesSent = 0;
    std::uint64_t m_commands = 0;
    std::uint64_t m_commandsRefused = 0; // not leader, overloaded or not allowed
    std::uint64_t m_endpointsExpired = 0;
    std::uint64_t m_vmsDeparted = 0;
};

} // namespace flamingo
