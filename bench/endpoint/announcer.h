#pragma once

#include "base/time.h"
#include "endpoint/logicalendpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace flamingo::bench {

/**
 * Announces logical endpoints to daemons over a few persistent connections.
 *
 * Registers each endpoint, renews it every 2 s, and registers it again when a renewal is not answered with 200. Not
 * thread-safe.
 */
class Announcer {
public:
    Announcer(boost::asio::io_context& context, std::vector<std::string> daemons, std::uint32_t connections);
    ~Announcer();

    /** Starts to announce the endpoint; registrations after the first 100 are spread over one renewal period. */
    void add(LogicalEndpoint& endpoint);

    /** Announces that the endpoint takes no new work, and keeps renewing it. */
    void drain(LogicalEndpoint& endpoint);

    /** Announces that the endpoint leaves, then stops announcing it. */
    void leave(LogicalEndpoint& endpoint);

    /** Registers the endpoint again, after a change of holdings, a drain, a leave or a crash. */
    void registerAgain(LogicalEndpoint& endpoint);

    /** Stops announcing the endpoint without a leave, as a crashed process does. */
    void stopAnnouncing(LogicalEndpoint& endpoint);

    /** Calls the function once no announcement is left to make, or after the timeout. */
    void whenIdle(Milliseconds timeout, std::function<void()> onIdle);

    /** Returns the number of announcements answered with 200. */
    std::uint64_t announced() const { return m_announced; }

    /** Returns the number of announcements that got another status or no answer. */
    std::uint64_t failed() const { return m_failed; }

private:
    class Connection;
    enum class Action {
        None,
        Register,
        Renew,
        Drain,
        Leave,
    };
    struct Entry {
        LogicalEndpoint* m_endpoint = nullptr;
        Action m_action = Action::Register;
        bool m_draining = false;
        bool m_queued = false;
        std::uint64_t m_generation = 0; // counts calls of setAction(); an answer to an older one is ignored
        MonotonicTime m_due;
    };

    Entry& find(LogicalEndpoint& endpoint);
    void setAction(LogicalEndpoint& endpoint, Action action);
    void tick();
    void dispatch();
    void sendNext(Connection& connection);
    void onAnswer(std::size_t entry, Action action, std::uint64_t generation, bool connected, unsigned status);
    static std::string announcementBody(const Entry& entry);

    boost::asio::steady_timer m_timer;
    std::vector<std::string> m_daemons;
    std::vector<Entry> m_entries;
    std::deque<std::size_t> m_queue;
    std::vector<std::shared_ptr<Connection>> m_connections;
    std::function<void()> m_onIdle;
    MonotonicTime m_idleDeadline;
    std::uint64_t m_announced = 0;
    std::uint64_t m_failed = 0;
};

} // namespace flamingo::bench
