#pragma once

#include "base/ids.h"

#include <string>

namespace flamingo {

/** Invites a control VM with an empty data folder into the replicated log. */
struct AddMember {
    VmId m_vm;
    std::string m_address; // of its links, IP address and port
};

} // namespace flamingo
