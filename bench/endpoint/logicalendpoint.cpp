#include "endpoint/logicalendpoint.h"

#include "endpoint/hits.h"
#include "endpoint/session.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace flamingo::bench {

namespace asio = boost::asio;
using FloatMs = std::chrono::duration<double, std::milli>;

namespace {

// 0.99 quantile of the standard normal distribution.
constexpr double normalP99 = 2.3263;

Milliseconds toMilliseconds(double milliseconds) { return Milliseconds(static_cast<Milliseconds::rep>(milliseconds)); }

} // namespace

LogicalEndpoint::LogicalEndpoint(
    asio::io_context& context, StubEndpoint stub, ExecutionLog& log, std::uint64_t seed, CrashHandler onCrash)
    : m_context(context)
    , m_acceptor(context)
    , m_stub(std::move(stub))
    , m_log(log)
    , m_onCrash(std::move(onCrash))
    , m_random(seed)
{
}

LogicalEndpoint::~LogicalEndpoint() { closeAll(); }

void LogicalEndpoint::listen()
{
    const asio::ip::tcp::endpoint address(asio::ip::make_address(m_stub.m_record.m_address), m_stub.m_record.m_port);
    m_acceptor.open(address.protocol());
    m_acceptor.set_option(asio::socket_base::reuse_address(true));
    m_acceptor.bind(address);
    m_acceptor.listen();
    m_stub.m_record.m_port = m_acceptor.local_endpoint().port();
    // Uses the random device of the system, because a restarted process must not repeat the incarnation of its
    // predecessor.
    m_stub.m_record.m_incarnation = Incarnation((std::uint64_t(std::random_device()()) << 20U) ^ m_random() % 1048576);
    m_startedAt = monotonicNow();
    accept();
}

void LogicalEndpoint::closeAll()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    for (const auto& session : m_sessions)
        session->close();
    m_sessions.clear();
    m_waiting.clear();
    m_busySlots = 0;
    m_lifetime = std::make_shared<int>();
    m_counters.m_connections = 0;
}

void LogicalEndpoint::silenceConnections()
{
    for (const auto& session : m_sessions) {
        if (session->m_state == Session::State::Running)
            --m_busySlots;
        session->silence();
    }
    m_waiting.clear();
}

void LogicalEndpoint::accept()
{
    m_acceptor.async_accept([this](boost::system::error_code error, asio::ip::tcp::socket socket) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error) {
            ++m_counters.m_accepted;
            if (m_sessions.size() >= m_stub.m_record.m_connections) {
                ++m_counters.m_violations;
                boost::system::error_code ignored;
                socket.close(ignored);
            } else {
                auto session = std::make_shared<Session>(*this, std::move(socket));
                m_sessions.insert(session);
                m_counters.m_connections = m_sessions.size();
                m_counters.m_connectionsPeak = std::max(m_counters.m_connectionsPeak, m_counters.m_connections);
                session->start(toMilliseconds(m_stub.m_faults.m_connectDelayMs));
            }
        }
        if (m_acceptor.is_open())
            accept();
    });
}

void LogicalEndpoint::onRequest(const std::shared_ptr<Session>& session)
{
    if (m_stub.m_faults.m_silent) {
        session->silence();
        return;
    }
    const bool isRequest = session->m_request.target() == "/shard/request";
    if (!isRequest && !(session->isQuery() && holdsShard(*session))) {
        ++m_counters.m_refused;
        session->answer(404, R"({"error":"shard or path is not served here"})", true, Milliseconds(0), load());
        return;
    }
    if (chance(m_stub.m_faults.m_shedFraction)) {
        shed(*session);
    } else if (m_busySlots < m_stub.m_record.m_slots) {
        startExecution(session);
    } else if (m_waiting.size() < m_stub.m_queue) {
        session->m_state = Session::State::Waiting;
        m_waiting.push_back(session);
    } else {
        shed(*session);
    }
}

void LogicalEndpoint::startExecution(const std::shared_ptr<Session>& session)
{
    ++m_busySlots;
    if (session->isQuery()) {
        ++m_counters.m_queries;
    } else {
        ++m_counters.m_requests;
        m_log.record(session->header("X-Flamingo-Request"));
    }
    const std::string& marker = m_stub.m_faults.m_crashMarker;
    if (!marker.empty() && session->m_request.body().find(marker) != std::string::npos) {
        ++m_counters.m_crashes;
        m_onCrash(*this);
        return;
    }
    session->run(serviceTime());
}

void LogicalEndpoint::finishExecution(const std::shared_ptr<Session>& session)
{
    --m_busySlots;
    std::string body;
    if (session->isQuery()) {
        body = shardHits(SnapshotVersion(session->numericHeader("X-Flamingo-Snapshot")),
            ShardIndex(static_cast<std::uint32_t>(session->numericHeader("X-Flamingo-Shard"))),
            session->m_request.body(), m_stub.m_hits);
    } else {
        body = R"({"done":true,"endpoint":")" + m_stub.m_record.m_id.value() + "\"}";
    }
    session->answer(200, std::move(body), false, Milliseconds(0), load());
    startNext();
}

/**
 * Releases the slot or the place in the queue of a closed connection.
 *
 * A running request, unlike a query, runs on without its caller and keeps its slot for another service time.
 */
void LogicalEndpoint::onConnectionClosed(Session& session)
{
    const auto self = session.shared_from_this();
    const bool wasRunning = session.m_state == Session::State::Running;
    if (wasRunning || session.m_state == Session::State::Waiting)
        ++m_counters.m_cancelled;
    m_waiting.erase(std::remove(m_waiting.begin(), m_waiting.end(), self), m_waiting.end());
    m_sessions.erase(self);
    m_counters.m_connections = m_sessions.size();
    session.close();
    if (!wasRunning)
        return;
    if (session.isQuery()) {
        --m_busySlots;
        startNext();
        return;
    }
    const auto timer = std::make_shared<asio::steady_timer>(m_context, serviceTime());
    timer->async_wait([this, timer, lifetime = std::weak_ptr<int>(m_lifetime)](boost::system::error_code) {
        if (lifetime.expired())
            return;
        --m_busySlots;
        startNext();
    });
}

void LogicalEndpoint::startNext()
{
    while (m_busySlots < m_stub.m_record.m_slots && !m_waiting.empty()) {
        const auto session = m_waiting.front();
        m_waiting.pop_front();
        if (session->m_deadline <= monotonicNow())
            shed(*session);
        else
            startExecution(session);
    }
}

void LogicalEndpoint::shed(Session& session)
{
    ++m_counters.m_shed;
    session.answer(503, R"({"error":"shed"})", true, toMilliseconds(m_stub.m_faults.m_retryAfterMs), load());
}

bool LogicalEndpoint::holdsShard(const Session& session) const
{
    const auto version = session.numericHeader("X-Flamingo-Snapshot");
    const auto layout = session.numericHeader("X-Flamingo-Layout");
    const auto shard = session.numericHeader("X-Flamingo-Shard");
    const auto& holdings = m_stub.m_record.m_holdings;
    return std::any_of(holdings.begin(), holdings.end(), [&](const ShardHolding& holding) {
        return holding.m_version.value() == version && holding.m_layout.value() == layout
            && holding.m_shard.value() == shard;
    });
}

double LogicalEndpoint::load() const
{
    if (m_stub.m_faults.m_reportedLoad)
        return *m_stub.m_faults.m_reportedLoad;
    const double capacity = m_stub.m_record.m_slots + m_stub.m_queue;
    return std::min(1.0, static_cast<double>(m_busySlots + m_waiting.size()) / std::max(capacity, 1.0));
}

Microseconds LogicalEndpoint::serviceTime()
{
    const Faults& faults = m_stub.m_faults;
    const double sigma = faults.m_medianMs > 0 ? std::log(faults.m_p99Ms / faults.m_medianMs) / normalP99 : 0;
    double time = faults.m_medianMs * std::exp(sigma * std::normal_distribution<double>()(m_random));
    if (chance(faults.m_slowFraction))
        time *= faults.m_slowFactor;
    const double age = FloatMs(monotonicNow() - m_startedAt).count();
    if (age < faults.m_coldMs)
        time *= faults.m_coldFactor;
    if (faults.m_stallEveryMs > 0) {
        // Work that starts in a stall waits for its end; work that runs into one takes the whole stall longer.
        const double phase = std::fmod(age, faults.m_stallEveryMs);
        if (phase < faults.m_stallMs)
            time += faults.m_stallMs - phase;
        else if (phase + time > faults.m_stallEveryMs)
            time += faults.m_stallMs;
    }
    return Microseconds(static_cast<Microseconds::rep>(time * 1000));
}

bool LogicalEndpoint::chance(double probability)
{
    return probability > 0 && std::uniform_real_distribution<double>()(m_random) < probability;
}

} // namespace flamingo::bench
