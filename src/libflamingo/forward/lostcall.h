#pragma once

#include "base/time.h"
#include "forward/lostendpoint.h"

#include <cstddef>

namespace flamingo {

/** A call that an endpoint did not answer, perhaps because it has ended. */
struct LostCall {
    std::size_t m_part = 0; // index in ForwardExecution::m_parts
    LostEndpoint m_endpoint;
    MonotonicTime m_lostAt;
    bool m_disconnected = false; // the connection ended; otherwise no answer came in time
};

} // namespace flamingo
