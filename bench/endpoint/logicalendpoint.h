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

/** Counters of one logical endpoint since the start of the process. */
struct StubCounters {
    std::uint64_t m_queries = 0; // executed
    std::uint64_t m_requests = 0; // executed
    std::uint64_t m_shed = 0;
    std::uint64_t m_refused = 0; // for a shard or path that the endpoint does not serve
    std::uint64_t m_cancelled = 0; // closed by the peer before the answer
    std::uint64_t m_crashes = 0;
    std::uint64_t m_accepted = 0;
    std::uint64_t m_connections = 0; // open now
    std::uint64_t m_connectionsPeak = 0;
    std::uint64_t m_violations = 0; // connections refused beyond the limit
};

/** One endpoint of a stub process, with a listening socket, slots, a queue and its faults. Not thread-safe. */
class LogicalEndpoint {
public:
    /** Called when the body of a request contains the crash marker. */
    using CrashHandler = std::function<void(LogicalEndpoint&)>;

    LogicalEndpoint(boost::asio::io_context& context, StubEndpoint stub, ExecutionLog& log, std::uint64_t seed,
        CrashHandler onCrash);
    ~LogicalEndpoint();

    /** Starts to listen under a new incarnation. Throws if the address cannot be bound. */
    void listen();

    /** Closes the listening socket and all connections, as the kernel does when a process ends. */
    void closeAll();

    /** Stops answering on all connections open now; connections opened later are answered. */
    void silenceConnections();

    bool isListening() const { return m_acceptor.is_open(); }
    StubEndpoint& stub() { return m_stub; }
    const StubCounters& counters() const { return m_counters; }

private:
    friend class Session;

    void accept();
    void onRequest(const std::shared_ptr<Session>& session);
    void startExecution(const std::shared_ptr<Session>& session);
    void finishExecution(const std::shared_ptr<Session>& session);
    void onConnectionClosed(Session& session);
    void startNext();
    void shed(Session& session);
    bool holdsShard(const Session& session) const;
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
    std::uint32_t m_busySlots = 0;
    std::shared_ptr<int> m_lifetime = std::make_shared<int>(); // replaced by closeAll(), which disables pending timers
    StubCounters m_counters;
};

} // namespace flamingo::bench
