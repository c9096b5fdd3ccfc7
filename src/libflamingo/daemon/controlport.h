#pragma once

#include "control/controlclient.h"

#include <functional>
#include <memory>

namespace flamingo {

/**
 * Interface of the control loop for other threads of the daemon.
 *
 * All functions are thread-safe and return without waiting; handlers are called on the control loop and must not block.
 * The functions forward to the ControlClient of the entry link.
 */
struct ControlPort {
    std::function<void(Command, Milliseconds timeout, CommandHandler)> m_submit;
    std::function<void(Revision, Milliseconds timeout, StatusHandler)> m_queryStatus;
    std::function<void(AdminRequest, Milliseconds timeout, AdminHandler)> m_administer;
    std::function<void(EndpointId)> m_noteRenewal;
    std::shared_ptr<const LeaseView> m_lease;
};

} // namespace flamingo
