#pragma once

#include "base/ids.h"
#include "base/time.h"

namespace flamingo {

/** Asks whether the change of a revision is in force. */
struct CommandStatusRequest {
    Revision m_revision;
    Milliseconds m_wait { 0 }; // longest wait for "in force"
};

} // namespace flamingo
