#pragma once

#include <cstdint>

namespace flamingo {

/** Counters since the start of the process, for metrics. */
struct ControlServiceCounters {
    std::uint64_t m_applied = 0; // applied log entries
    std::uint64_t m_renewals = 0;
    std::uint64_t m_endpointRenewals = 0;
    std::uint64_t m_grants = 0;
    std::uint64_t m_withheldNotAdmitted = 0; // leases not granted: VM not admitted, or its state without its admission
    std::uint64_t m_withheldBehind = 0; // leases not granted: state of the VM too old or newer than the leader's
    std::uint64_t m_withheldNoRound = 0; // leases not granted: leader not confirmed within the lease period
    std::uint64_t m_deltas = 0;
    std::uint64_t m_fullCopies = 0;
    std::uint64_t m_stateBytesSent = 0;
    std::uint64_t m_commands = 0;
    std::uint64_t m_commandsRefused = 0; // not the leader, overloaded or not allowed
    std::uint64_t m_endpointsExpired = 0;
    std::uint64_t m_vmsDeparted = 0;
};

} // namespace flamingo
