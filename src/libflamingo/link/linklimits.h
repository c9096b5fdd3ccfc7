#pragma once

#include "base/time.h"

#include <cstddef>

namespace flamingo {

/** Limits and timeouts of links. The defaults are for daemons; tests use shorter timeouts. */
struct LinkLimits {
    std::size_t m_maxMessageBytes = 8u << 20;
    // Total size of the messages accepted by send() and not yet written to the socket. Without a limit, a peer that
    // reads too slowly would exhaust the memory of the sender.
    std::size_t m_maxQueuedBytes = 64u << 20;
    std::size_t m_maxLinks = 16384; // of one server, links in the opening handshake included
    // The kernel retransmits a TCP SYN that was lost, or sent to a VM without power, after a second or more. A new
    // attempt reaches the VM sooner.
    Milliseconds m_connectTimeout { 300 };
    Milliseconds m_handshakeTimeout { 3000 };
    Milliseconds m_closeTimeout { 1000 }; // for the close frame of the peer
    Milliseconds m_pingInterval { 1000 };
    Milliseconds m_silenceTimeout { 3000 }; // time without received data after which the link is closed
};

} // namespace flamingo
