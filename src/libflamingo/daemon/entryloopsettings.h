#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <map>

namespace flamingo {

/** Settings of the entry role's event loop. */
struct EntryLoopSettings {
    VmId m_vm;
    Incarnation m_incarnation;
    DataCentreName m_dataCentre;
    std::map<CallerClass, double> m_classWeights; // weights in Admission; classes that are not listed have weight 1
    std::uint32_t m_maxQueries = 2000; // concurrent queries of all services
    std::uint32_t m_maxRequests = 256; // concurrent requests of all services
    Milliseconds m_commandTimeout { 5000 }; // of commands to the control leader: claims and reports
};

} // namespace flamingo
