#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <string>

namespace flamingo {

/** An entry VM that is admitted, or that departed recently. */
struct VmRecord {
    VmId m_id;
    Incarnation m_incarnation;
    DataCentreName m_dataCentre;
    std::string m_address; // IP address and port of the caller interface
    Revision m_admittedIn;
    // True once the lease has ended. The VM keeps its share of the connections until the record is removed, because a
    // frozen process keeps its sockets open.
    bool m_departed = false;
    LogTime m_departedAt;
};

} // namespace flamingo
