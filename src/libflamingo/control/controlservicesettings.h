#pragma once

#include "base/time.h"

namespace flamingo {

/** Times after which a control VM removes silent endpoints. */
struct ControlServiceSettings {
    Milliseconds m_endpointTtl { 10000 }; // lifetime without a renewal; endpoints renew every 2 s
    // A removal is delayed by this time to include further endpoints, so that a lost data centre is removed by one
    // command: its endpoints expire within one renewal interval of each other.
    Milliseconds m_removalBatchDelay { 2000 };
};

} // namespace flamingo
