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
 * Announces logical endpoints to daemons over a few kept connections.
 *
 * Registers, renews every 2 s, and registers again when a renewal is not answered with 200. Not
 * thread-safe.
 */
class Announcer {
public:
    Announcer(boost::asio::io_context& context, std::vector<std::string> daemons, std::uint32_t connections);
    ~Announcer();

    /** Starts to announce; registrations are spread over one renewal period. */
    void add(LogicalEndpoint& endpoint);

    /** Announces that the endpoint takes no new work; it renews further. */
    void drain(LogicalEndpoint& endpoint);

    /** Announces that the endpoint leaves, then stops. */
    void leave(LogicalEndpoint& endpoint);

    /** Registers anew: after a change of holdings, a drain, a leave or a death. */
    void enroll(LogicalEndpoint& endpoint);

    /** Stops without a word, as a dead process does. */
    void silence(LogicalEndpoint& endpoint);

    /** Calls the function once nothing is left to say, or after the timeout. */
    void whenIdle(Milliseconds timeout, std::function<void()> done);

    std::uint64_t announced() const { return m_announced; }
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
        std::uint64_t m_change = 0; // grows with each wish, so that an older answer does not undo it
        MonotonicTime m_due;
    };

    Entry& find(LogicalEndpoint& endpoint);
    void want(LogicalEndpoint& endpoint, Action action);
    void tick();
    void dispatch();
    void sendNext(Connection& connection);
    void answered(std::size_t entry, Action action, std::uint64_t change, bool connected, unsigned status);
    static std::string body(const Entry& entry);

    boost::asio::steady_timer m_timer;
    std::vector<std::string> m_daemons;
    std::vector<Entry> m_entries;
    std::deque<std::size_t> m_queue;
    std::vector<std::shared_ptr<Connection>> m_connections;
    std::function<void()> m_done;
    MonotonicTime m_doneBy;
    std::uint64_t m_announced = 0;
    std::uint64_t m_failed = 0;
};

} // namespace flamingo::bench
