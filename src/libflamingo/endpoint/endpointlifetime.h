#pragma once

#include "base/ids.h"

namespace flamingo {

/** One lifetime of an endpoint: a restart under the same id has another incarnation. */
struct EndpointLifetime {
    EndpointId m_id;
    Incarnation m_incarnation;

    friend bool operator==(const EndpointLifetime& a, const EndpointLifetime& b)
    {
        return a.m_id == b.m_id && a.m_incarnation == b.m_incarnation;
    }
    friend bool operator<(const EndpointLifetime& a, const EndpointLifetime& b)
    {
        return a.m_id != b.m_id ? a.m_id < b.m_id : a.m_incarnation < b.m_incarnation;
    }
};

} // namespace flamingo
