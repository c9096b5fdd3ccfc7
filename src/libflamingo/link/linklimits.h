#pragma once

#include "base/time.h"

#include <cstddef>

namespace flamingo {

/** Bounds of a link. The defaults suit daemons; tests shorten the times. */
struct LinkLimits {
    std::size_t m_maxMessageBytes = 8u << 20;
    // Messages accepted by send() and not yet written to the socket. A peer that reads too slowly
    // would otherwise take the memory of the sender.
    std::size_t m_maxQueuedBytes = 64u << 20;
    std::size_t m_maxLinks = 16384; // open links and handshakes of one server
    // An opening packet that is lost, or sent to a VM without power, is sent again by the system after a second or
    // more; a new attempt finds the VM sooner.
    Milliseconds m_connectTimeout { 300 };
    Milliseconds m_handshakeTimeout { 3000 };
    Milliseconds m_closeTimeout { 1000 }; // wait for the peer's close frame
    Milliseconds m_pingInterval { 1000 };
    Milliseconds m_silenceTimeout { 3000 };
};

} // namespace flamingo
