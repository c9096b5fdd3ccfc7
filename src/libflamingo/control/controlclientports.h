#pragma once

#include "control/publishedstate.h"
#include "link/linkid.h"

#include <functional>
#include <memory>
#include <string>

namespace flamingo {

/**
 * What a ControlClient needs from its surroundings. All are called on its loop and must not call
 * back into it before they return.
 */
struct ControlClientPorts {
    // Starts to connect a new link; answered by onLinkOpened() or onLinkClosed() with the same number.
    // The client has one link at a time and closes the one before first.
    std::function<void(LinkId, const std::string& address)> m_connect;
    // Drops a link; onLinkClosed() for it may or may not follow.
    std::function<void(LinkId)> m_close;
    // Queues one encoded message; a failure closes the link later through onLinkClosed().
    std::function<void(LinkId, const std::string& bytes)> m_send;
    // Gives out a newer state. It must be visible to all new work when the call returns, since the
    // revision is confirmed to the leader afterwards. Readers must not keep weak references to it.
    std::function<void(std::shared_ptr<const PublishedState>)> m_onState;
    // Returns a random number from 0 up to 1, for jitter.
    std::function<double()> m_random;
};

} // namespace flamingo
