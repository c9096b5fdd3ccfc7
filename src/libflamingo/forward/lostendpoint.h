#pragma once

#include "base/ids.h"

#include <cstdint>
#include <string>

namespace flamingo {

/** An endpoint that ended the connection of a call without an answer, and that may have crashed. */
struct LostEndpoint {
    EndpointId m_id;
    Incarnation m_incarnation;
    ServiceName m_service;
    std::string m_address; // IP address
    std::uint16_t m_port = 0;
};

} // namespace flamingo
