#pragma once

#include "base/time.h"

#include <atomic>
#include <cstdint>

namespace flamingo {

/**
 * Thread-safe view of the lease of this entry VM: any thread may call any method at any time.
 */
class LeaseView {
public:
    /**
     * Returns whether this VM may accept new work and send to endpoints at the given time.
     *
     * Call it again with the current time after each step that may block, because the lease may have ended while the
     * process was suspended.
     */
    bool valid(MonotonicTime now) const
    {
        return now.time_since_epoch().count() < m_validUntil.load(std::memory_order_acquire);
    }

    /** Sets the end of the lease; the epoch of the clock means no lease. */
    void set(MonotonicTime validUntil)
    {
        m_validUntil.store(validUntil.time_since_epoch().count(), std::memory_order_release);
    }

private:
    std::atomic<MonotonicTime::rep> m_validUntil { 0 };
};

} // namespace flamingo
