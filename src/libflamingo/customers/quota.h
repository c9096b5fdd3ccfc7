#pragma once

#include "base/rate.h"

namespace flamingo {

/** Requests that a customer may make, counted over all VMs: a token bucket. A rate of 0 means no limit. */
struct Quota {
    RequestsPerSecond m_rate;
    double m_burst = 0.0; // requests that may come at once after a pause

    bool isLimited() const { return m_rate.value() > 0.0; }

    friend bool operator==(const Quota& a, const Quota& b) { return a.m_rate == b.m_rate && a.m_burst == b.m_burst; }
    friend bool operator!=(const Quota& a, const Quota& b) { return !(a == b); }
};

} // namespace flamingo
