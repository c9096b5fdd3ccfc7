#include "daemon/peerlinks.h"

#include "link/linkclient.h"
#include "link/linkpath.h"

namespace flamingo {

PeerLinks::PeerLinks(boost::asio::io_context& io)
    : m_io(io)
{
}

PeerLinks::~PeerLinks() = default;

void PeerLinks::send(const std::string& address, const std::string& frame, MonotonicTime now)
{
    Peer& peer = m_peers[address];
    if (!peer.m_link)
        peer.m_link = std::make_unique<LinkClient>(m_io, LinkClientCallbacks {});
    if (peer.m_link->state() == LinkState::Open) {
        peer.m_link->send(frame);
        return;
    }
    if (peer.m_link->state() == LinkState::Closed && now >= peer.m_nextConnect) {
        peer.m_nextConnect = now + reconnectPause;
        peer.m_link->connect(address, peerLinkPath);
    }
}

void PeerLinks::stop() { m_peers.clear(); }

} // namespace flamingo
