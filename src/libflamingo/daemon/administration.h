#pragma once

#include "base/time.h"
#include "control/messages.h"

namespace flamingo {

class ConsensusMember;
class ControlService;

/**
 * Carries out an administrative request on the leader: lists log members, leases or claims, or changes the members.
 *
 * Not thread-safe; called on the control loop.
 */
AdminReply administer(
    ConsensusMember& member, const ControlService& service, const AdminRequest& request, MonotonicTime now);

} // namespace flamingo
