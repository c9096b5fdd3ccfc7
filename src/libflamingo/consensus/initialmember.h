#pragma once

#include "base/ids.h"

#include <string>

namespace flamingo {

/** A control VM as listed in the settings. */
struct InitialMember {
    VmId m_vm;
    std::string m_address; // IP address and port of the control link
};

} // namespace flamingo
