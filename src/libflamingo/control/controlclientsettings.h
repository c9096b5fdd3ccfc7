#pragma once

#include "base/ids.h"

#include <string>
#include <vector>

namespace flamingo {

/** Identity of the entry VM and addresses of the control VMs. */
struct ControlClientSettings {
    VmId m_vm;
    Incarnation m_incarnation;
    DataCentreName m_dataCentre;
    std::string m_address; // IP address and port of the caller interface
    std::vector<std::string> m_controlAddresses; // IP addresses and ports, at least one
};

} // namespace flamingo
