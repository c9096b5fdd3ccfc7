#pragma once

#include "base/time.h"

namespace flamingo {

/** When a control VM takes endpoints for lost. */
struct ControlServiceSettings {
    Milliseconds m_endpointTtl { 10000 }; // endpoints renew every 2 s
    // Removals wait this long for more, so that a lost data centre becomes one command: its endpoints
    // expire within one renewal interval of each other.
    Milliseconds m_removalBatchDelay { 2000 };
};

} // namespace flamingo
