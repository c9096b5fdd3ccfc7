#pragma once

#include "base/ids.h"
#include "base/time.h"

#include <cstdint>
#include <map>

namespace flamingo {

/** What the entry role of a daemon needs to know of its settings. */
struct EntryLoopSettings {
    VmId m_vm;
    Incarnation m_incarnation;
    DataCentreName m_dataCentre;
    std::map<CallerClass, double> m_classWeights; // classes that are not listed weigh 1
    std::uint32_t m_maxQueries = 2000; // running at the same time, over all services
    std::uint32_t m_maxRequests = 256;
    Milliseconds m_commandTimeout { 5000 }; // for claims and announcements at the control leader
};

} // namespace flamingo
