#pragma once

#include "control/controlclient.h"

#include <functional>
#include <memory>

namespace flamingo {

/**
 * Functions of the control loop that other threads of the daemon may call, and the lease.
 *
 * The functions post the call to the control loop, which passes it to the ControlClient of the entry link. All are
 * thread-safe and return without waiting; handlers are called on the control loop and must not block.
 */
struct ControlLoopProxy {
    std::function<void(Command, Milliseconds timeout, CommandHandler)> m_submit;
    std::function<void(Revision, Milliseconds timeout, StatusHandler)> m_queryStatus;
    std::function<void(AdminRequest, Milliseconds timeout, AdminHandler)> m_administer;
    std::function<void(EndpointId)> m_noteRenewal;
    std::shared_ptr<const LeaseView> m_lease;
};

} // namespace flamingo
