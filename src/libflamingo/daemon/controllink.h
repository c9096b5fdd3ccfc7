#pragma once

#include "control/controlclient.h"

#include <memory>
#include <random>

namespace boost::asio {
class io_context;
}

namespace flamingo {

class LinkClient;

/**
 * The ControlClient of an entry VM together with the WebSocket link that it uses.
 *
 * Thread safety: none; all calls on the thread of the io_context, which outlives the object.
 */
class ControlLink {
public:
    /**
     * Creates a link that is not connected; the first tick() connects it.
     *
     * onState must make the state visible to all new work before it returns. The changes lead from the previous state
     * to this one; they are null after a full copy.
     */
    ControlLink(boost::asio::io_context& io, ControlClientSettings settings,
        std::function<void(std::shared_ptr<const PublishedState>, const std::vector<Change>*)> onState);
    ~ControlLink();
    ControlLink(const ControlLink&) = delete;
    ControlLink& operator=(const ControlLink&) = delete;

    /** Returns the client, which submits commands and holds the lease. */
    ControlClient& client() { return *m_client; }

    /** Handles timers that have expired; to be called every 20 to 100 ms. */
    void tick(MonotonicTime now) { m_client->tick(now); }

private:
    void connect(LinkId link, const std::string& address);
    void close(LinkId link);
    void resetLink();

    boost::asio::io_context& m_io;
    std::mt19937_64 m_random;
    std::unique_ptr<ControlClient> m_client;
    std::unique_ptr<LinkClient> m_link;
    LinkId m_linkId;
};

} // namespace flamingo
