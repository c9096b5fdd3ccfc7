#pragma once

#include "base/time.h"

#include <map>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace flamingo {

class LinkClient;

/**
 * Outgoing links to the other control members, opened when there is a frame to send.
 *
 * Frames are dropped while a link is not open; the replicated log sends again what is still needed.
 * Thread safety: none; all calls on the thread of the io_context, which outlives the object.
 */
class PeerLinks {
public:
    // Shortest time between attempts to connect; without it a member that is down would be tried at each heartbeat.
    static constexpr Milliseconds reconnectPause { 100 };

    explicit PeerLinks(boost::asio::io_context& io);
    ~PeerLinks();
    PeerLinks(const PeerLinks&) = delete;
    PeerLinks& operator=(const PeerLinks&) = delete;

    /** Sends the frame to the control address "ip:port" if a link to it is open; else starts to connect. */
    void send(const std::string& address, const std::string& frame, MonotonicTime now);

    /** Closes all links. */
    void stop();

private:
    struct Peer {
        std::unique_ptr<LinkClient> m_link;
        MonotonicTime m_nextConnect {}; // no attempt to connect before this time
    };

    boost::asio::io_context& m_io;
    std::map<std::string, Peer> m_peers;
};

} // namespace flamingo
