#pragma once

#include "base/ids.h"

#include <string>
#include <vector>

namespace flamingo {

/** Who the entry VM is and where it finds control VMs. */
struct ControlClientSettings {
    VmId m_vm;
    Incarnation m_incarnation;
    DataCentreName m_dataCentre;
    std::string m_address; // caller interface, IP address and port
    std::vector<std::string> m_controlAddresses; // IP addresses and ports, at least one
};

} // namespace flamingo
