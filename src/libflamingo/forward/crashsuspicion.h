#pragma once

#include "base/ids.h"
#include "base/time.h"

namespace flamingo {

/**
 * A request that has lost calls and that no endpoint has survived, while it is open whether the endpoints have ended.
 *
 * It is reported for one endpoint at most. Several may have ended for the same other reason, so they are no independent
 * evidence.
 */
struct CrashSuspicion {
    RequestId m_request;
    Fingerprint m_fingerprint;
    bool m_reported = false;
};

} // namespace flamingo
