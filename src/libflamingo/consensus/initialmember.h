#pragma once

#include "base/ids.h"

#include <string>

namespace flamingo {

/** A control VM that the settings list as an initial member of the cluster. */
struct InitialMember {
    VmId m_vm;
    std::string m_address; // IP address and port of the control link
};

} // namespace flamingo
