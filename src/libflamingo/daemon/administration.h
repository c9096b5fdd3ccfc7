#pragma once

#include "base/time.h"
#include "control/messages.h"

namespace flamingo {

class ConsensusMember;
class ControlService;

/**
 * Answers a request about the members of the log, leases or claims, on the leader.
 *
 * Not thread-safe; on the control loop.
 */
AdminReply administer(
    ConsensusMember& member, const ControlService& service, const AdminRequest& request, MonotonicTime now);

} // namespace flamingo
