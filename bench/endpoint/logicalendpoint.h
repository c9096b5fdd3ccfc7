#pragma once

#include "base/time.h"
#include "endpoint/executionlog.h"
#include "endpoint/scenario.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>

namespace flamingo::bench {

class Session;

/** What one logical endpoint has seen. */
struct StubCounters {
    std::uint64_t m_queries = 0; // executed
    std::uint64_t m_requests = 0; // executed
    std::uint64_t m_shed = 0;
    std::uint64_t m_refused = 0; // shard or path it does not serve
    std::uint64_t m_cancelled = 0; // connection closed by the peer before the answer
    std::uint64_t m_crashes = 0;
    std::uint64_t m_accepted = 0;
    std::uint64_t m_connections = 0; // at this moment
    std::uint64_t m_connectionsPeak = 0;
    std::uint64_t m_violations = 0; // connections beyond the limit
};

/** One endpoint of a stub process: a listening socket, slots, a queue and its faults. Not thread-safe. */
class LogicalEndpoint {
public:
    /** Called when a body holds the crash marker. */
    using CrashHandler = std::function<void(LogicalEndpoint&)>;

    LogicalEndpoint(boost::asio::io_context& context, StubEndpoint stub, ExecutionLog& log, std::uint64_t seed,
        CrashHandler onCrash);
    ~LogicalEndpoint();

    /** Starts to listen under a new incarnation. Throws if the address cannot be had. */
    void listen();

    /** Closes the listening socket and all connections, as the death of a process does. */
    void die();

    /** Lets all connections now open stay silent for ever, while new ones work. */
    void silenceConnections();

    bool isListening() const { return m_acceptor.is_open(); }
    StubEndpoint& stub() { return m_stub; }
    const StubCounters& counters() const { return m_counters; }

private:
    friend class Session;

    void accept();
    void arrive(const std::shared_ptr<Session>& session);
    void begin(const std::shared_ptr<Session>& session);
    void finish(const std::shared_ptr<Session>& session);
    void gone(Session& session);
    void startNext();
    void shed(Session& session);
    bool holds(const Session& session) const;
    double load() const;
    Microseconds serviceTime();
    bool chance(double probability);

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    StubEndpoint m_stub;
    ExecutionLog& m_log;
    CrashHandler m_onCrash;
    std::mt19937_64 m_random;
    MonotonicTime m_startedAt;
    std::set<std::shared_ptr<Session>> m_sessions;
    std::deque<std::shared_ptr<Session>> m_waiting;
    std::uint32_t m_running = 0;
    std::shared_ptr<int> m_alive = std::make_shared<int>(); // replaced at each death
    StubCounters m_counters;
};

} // namespace flamingo::bench
