#pragma once

#include "base/ids.h"

#include <cstdint>

namespace flamingo {

/** Requests of a customer that a VM has admitted, as reported to the VM that owns the quota. */
struct QuotaUsage {
    VmId m_vm; // that admitted the requests
    Incarnation m_incarnation;
    CustomerName m_customer;
    // Numbers of requests that the VM had admitted since its start, when its last report was confirmed and now. With
    // totals in place of differences, a report that is repeated or lost changes no count.
    std::uint64_t m_from = 0;
    std::uint64_t m_to = 0;
    std::uint32_t m_wanted = 0; // requests that wait for a grant
};

} // namespace flamingo
