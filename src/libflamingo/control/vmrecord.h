#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <string>

namespace flamingo {

/** An entry VM that is admitted, or that left a short time ago. */
struct VmRecord {
    VmId m_id;
    Incarnation m_incarnation;
    DataCentreName m_dataCentre;
    std::string m_address; // IP address and port of its caller interface
    Revision m_admittedIn;
    // Set once its lease has ended. It still counts for connection shares until the record is
    // removed, since a frozen process keeps its sockets open.
    bool m_departed = false;
    LogTime m_departedAt;
};

} // namespace flamingo
