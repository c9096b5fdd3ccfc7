#pragma once

#include "base/ids.h"

#include <string>

namespace flamingo {

/** Adds a control VM, which has an empty data folder, to the members of the replicated log. */
struct AddMember {
    VmId m_vm;
    std::string m_address; // IP address and port at which the VM accepts links
};

} // namespace flamingo
