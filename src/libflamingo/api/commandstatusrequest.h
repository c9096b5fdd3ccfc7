#pragma once

#include "base/ids.h"
#include "base/time.h"

namespace flamingo {

/** Asks whether the change that made a state revision is in force. */
struct CommandStatusRequest {
    Revision m_revision;
    Milliseconds m_wait { 0 }; // longest time to wait until the change is in force
};

} // namespace flamingo
