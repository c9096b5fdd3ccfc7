#pragma once

#include "base/time.h"

#include <atomic>
#include <cstdint>

namespace flamingo {

/**
 * The lease of this entry VM as other threads see it.
 *
 * Thread safety: any thread may call any method at any time.
 */
class LeaseView {
public:
    /**
     * Returns whether this VM may take new work and send to endpoints at the time.
     *
     * Ask again with a fresh time after each step that may block: a frozen process resumes with
     * whatever it believed before.
     */
    bool valid(MonotonicTime now) const
    {
        return now.time_since_epoch().count() < m_validUntil.load(std::memory_order_acquire);
    }

    /** Sets the end of the lease; the epoch of the clock means that there is none. */
    void set(MonotonicTime validUntil)
    {
        m_validUntil.store(validUntil.time_since_epoch().count(), std::memory_order_release);
    }

private:
    std::atomic<MonotonicTime::rep> m_validUntil { 0 };
};

} // namespace flamingo
