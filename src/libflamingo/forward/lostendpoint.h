#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string>

namespace flamingo {

/** An endpoint that did not answer a call, and that may have ended. */
struct LostEndpoint {
    EndpointId m_id;
    Incarnation m_incarnation;
    ServiceName m_service;
    std::string m_address; // IP address
    std::uint16_t m_port = 0;
};

} // namespace flamingo
