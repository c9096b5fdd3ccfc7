#pragma once

#include "control/publishedstate.h"
#include "link/linkid.h"

#include <functional>
#include <memory>
#include <string>

namespace flamingo {

/**
 * Functions through which a ControlClient uses links and publishes the state. They are called on the loop of the
 * client and must not call back into it before they return.
 */
struct ControlClientPorts {
    // Starts to connect a new link; onLinkOpened() or onLinkClosed() with the same id follows. The client has one link
    // at a time and closes the previous one first.
    std::function<void(LinkId, const std::string& address)> m_connect;
    // Closes a link; onLinkClosed() for it may or may not follow.
    std::function<void(LinkId)> m_close;
    // Queues one encoded message; a send failure is reported later through onLinkClosed().
    std::function<void(LinkId, const std::string& bytes)> m_send;
    // Publishes a newer state. It must be visible to all new work when the call returns, because its revision is
    // confirmed to the leader afterwards. Readers must not keep weak references to it.
    std::function<void(std::shared_ptr<const PublishedState>)> m_onState;
    // Returns a random number in [0, 1) for jitter.
    std::function<double()> m_random;
};

} // namespace flamingo
