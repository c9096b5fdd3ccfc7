#include "endpoint/endpointclient.h"

#include "endpoint/connectionpool.h"
#include "endpoint/httpconnectionowner.h"
#include "endpoint/runningcall.h"

#include "base/monotonictimer.h"
#include <boost/asio/post.hpp>

#include <algorithm>
#include <chrono>
#include <functional>
#include <queue>
#include <unordered_map>
#include <utility>
#include <vector>

namespace flamingo {

namespace asio = boost::asio;
using detail::CallDeadline;
using detail::ConnectionPool;
using detail::HttpConnection;
using detail::RunningCall;

namespace {

Microseconds elapsedSince(MonotonicTime start)
{
    return std::chrono::duration_cast<Microseconds>(monotonicNow() - start);
}

EndpointReply failure(CallOutcome outcome, std::string text)
{
    EndpointReply reply;
    reply.m_outcome = outcome;
    reply.m_text = std::move(text);
    return reply;
}

} // namespace

class EndpointClient::Impl final : public detail::HttpConnectionOwner {
public:
    Impl(asio::io_context& context, const EndpointProtocol& protocol, const EndpointClientSettings& settings)
        : m_context(context)
        , m_protocol(protocol)
        , m_settings(settings)
        , m_timer(context)
    {
    }

    ~Impl() override
    {
        for (auto& entry : m_pools) {
            for (auto& connection : entry.second.m_connections)
                connection->detach();
        }
    }

    Impl(const Impl&) = delete;
    Impl& operator=(const Impl&) = delete;

    CallHandle start(EndpointCall call, EndpointReplyHandler handler)
    {
        const CallHandle handle(++m_lastHandle);
        RunningCall& running = m_calls[handle];
        running.m_handle = handle;
        running.m_call = std::move(call);
        running.m_handler = std::move(handler);
        running.m_startedAt = monotonicNow();
        ++m_counters.m_callsStarted;
        ++m_counters.m_callsInFlight;
        if (!m_protocol.m_isValid(running.m_call)) {
            post(running, failure(CallOutcome::NotSent, "the request id, kind or path is not valid in an HTTP header"));
            return handle;
        }
        ConnectionPool& pool = poolFor(running.m_call.m_endpoint);
        if (pool.m_queue.size() >= pool.m_limits.m_maxQueuedCalls) {
            post(running, failure(CallOutcome::NotSent, "too many calls are waiting for a connection"));
            return handle;
        }
        running.m_pool = &pool;
        useAddress(pool, running.m_call.m_address, running.m_call.m_port);
        pool.m_queue.push_back(handle);
        addDeadline({ std::min(running.m_call.m_deadline, running.m_call.m_answerBy), handle });
        dispatchQueuedCalls(pool);
        return handle;
    }

    void cancel(CallHandle handle)
    {
        const auto found = m_calls.find(handle);
        if (found == m_calls.end())
            return;
        abandon(found->second, failure(CallOutcome::Cancelled, "cancelled"));
    }

    void cancelUnsent(CallHandle handle)
    {
        const auto found = m_calls.find(handle);
        if (found != m_calls.end() && !isSent(found->second))
            abandon(found->second, failure(CallOutcome::NotSent, "cancelled before it was sent"));
    }

    void setLimits(const EndpointId& endpoint, const EndpointLimits& limits)
    {
        ConnectionPool& pool = poolFor(endpoint);
        pool.m_limits = limits;
        pool.m_keepIfEmpty = true;
        pool.m_removed = false;
        while (pool.m_connections.size() - pool.m_closing > limits.m_maxConnections && !pool.m_idle.empty())
            close(*pool.m_idle.front());
        dispatchQueuedCalls(pool);
    }

    void preconnect(const EndpointId& endpoint, const std::string& address, std::uint16_t port, std::uint32_t count)
    {
        ConnectionPool& pool = poolFor(endpoint);
        pool.m_keepIfEmpty = true;
        pool.m_removed = false;
        useAddress(pool, address, port);
        pool.m_minConnections = count;
        refill(pool);
    }

    bool tryConnect(const EndpointId& endpoint, const std::string& address, std::uint16_t port)
    {
        ConnectionPool& pool = poolFor(endpoint);
        useAddress(pool, address, port);
        if (!pool.hasRoom())
            return false;
        open(pool, nullptr);
        return true;
    }

    void removeEndpoint(const EndpointId& endpoint)
    {
        const auto found = m_pools.find(endpoint);
        if (found == m_pools.end())
            return;
        ConnectionPool& pool = found->second;
        pool.m_keepIfEmpty = false;
        pool.m_removed = true;
        pool.m_minConnections = 0;
        while (!pool.m_idle.empty())
            close(*pool.m_idle.front());
        removeIfUnused(pool);
    }

    EndpointConnections connections(const EndpointId& endpoint) const
    {
        EndpointConnections result;
        const auto found = m_pools.find(endpoint);
        if (found == m_pools.end())
            return result;
        const ConnectionPool& pool = found->second;
        result.m_open = static_cast<std::uint32_t>(pool.m_connections.size());
        result.m_connecting
            = static_cast<std::uint32_t>(std::count_if(pool.m_connections.begin(), pool.m_connections.end(),
                [](const auto& connection) { return connection->state() == HttpConnection::State::Connecting; }));
        result.m_idle = static_cast<std::uint32_t>(pool.m_idle.size());
        result.m_closing = pool.m_closing;
        result.m_queuedCalls = static_cast<std::uint32_t>(pool.m_queue.size());
        return result;
    }

    const EndpointClientCounters& counters() const { return m_counters; }

private:
    ConnectionPool& poolFor(const EndpointId& endpoint)
    {
        const auto [position, isNew] = m_pools.try_emplace(endpoint);
        ConnectionPool& pool = position->second;
        if (isNew) {
            pool.m_endpoint = endpoint;
            pool.m_limits = m_settings.m_defaultLimits;
        }
        return pool;
    }

    /** Opens connections up to the minimum, within the limit. */
    void refill(ConnectionPool& pool)
    {
        while (pool.m_connections.size() - pool.m_closing < pool.m_minConnections && pool.hasRoom())
            open(pool, nullptr);
    }

    /** Sets the address of the endpoint and closes connections to its former address, busy ones after their calls. */
    void useAddress(ConnectionPool& pool, const std::string& address, std::uint16_t port)
    {
        if (pool.m_address == address && pool.m_port == port)
            return;
        pool.m_address = address;
        pool.m_port = port;
        for (auto& connection : pool.m_connections)
            connection->ownerData().m_reusable = false;
        while (!pool.m_idle.empty())
            close(*pool.m_idle.front());
    }

    /** Assigns connections to queued calls in order and opens new ones up to the limit. */
    void dispatchQueuedCalls(ConnectionPool& pool)
    {
        std::uint32_t pendingConnections = pool.m_connecting; // connections being opened that no earlier call waits for
        std::size_t position = 0;
        while (position < pool.m_queue.size()) {
            RunningCall& call = m_calls.at(pool.m_queue[position]);
            if (HttpConnection* idle = call.m_call.m_dedicatedConnection
                    ? nullptr
                    : findIdle(pool, call.m_call.m_recentlyActiveConnection)) {
                removeIdle(pool, *idle);
                if (dispatch(call, *idle))
                    pool.m_queue.erase(pool.m_queue.begin() + static_cast<std::ptrdiff_t>(position));
                continue;
            }
            if (!call.m_call.m_dedicatedConnection && pendingConnections > 0) {
                --pendingConnections;
                ++position;
                continue;
            }
            if (!pool.hasRoom()) {
                // The call may use none of the idle connections, so one of them is closed to make room.
                if (pool.m_closing == 0 && !pool.m_idle.empty())
                    close(*pool.m_idle.front());
                return;
            }
            if (call.m_call.m_dedicatedConnection) {
                call.m_connection = &open(pool, &call);
                pool.m_queue.erase(pool.m_queue.begin() + static_cast<std::ptrdiff_t>(position));
            } else {
                open(pool, nullptr);
                ++position;
            }
        }
    }

    HttpConnection& open(ConnectionPool& pool, const RunningCall* call)
    {
        auto connection = HttpConnection::create(m_context, m_protocol, *this);
        HttpConnection::OwnerData& data = connection->ownerData();
        data.m_pool = &pool;
        if (call) {
            data.m_call = call->m_handle;
            data.m_reserved = true;
        } else {
            ++pool.m_connecting;
        }
        pool.m_connections.push_back(connection);
        ++m_counters.m_connectionsOpen;
        connection->connect(pool.m_address, pool.m_port, pool.m_limits.m_connectTimeout);
        return *connection;
    }

    /** Sends the call; returns false if the connection failed before the first byte was sent. */
    bool dispatch(RunningCall& call, HttpConnection& connection)
    {
        const MonotonicTime now = monotonicNow();
        if (call.m_call.m_deadline <= now) {
            returnToPool(connection);
            post(call, failure(CallOutcome::NotSent, "the deadline passed before the request was sent"));
            return true;
        }
        connection.ownerData().m_call = call.m_handle;
        call.m_connection = &connection;
        call.m_sentAt = now;
        const auto remaining = std::chrono::duration_cast<Milliseconds>(call.m_call.m_deadline - now);
        if (connection.send(call.m_call.m_request, m_protocol.m_formatHeader(call.m_call, remaining),
                call.m_call.m_body, call.m_call.m_held)
            == HttpConnection::SendResult::Started)
            return true;
        call.m_connection = nullptr;
        ++m_counters.m_connectionsLost;
        remove(connection);
        return false;
    }

    /** Returns a connection to the idle ones, or closes it if it must not be reused. */
    void returnToPool(HttpConnection& connection)
    {
        HttpConnection::OwnerData& data = connection.ownerData();
        ConnectionPool& pool = *data.m_pool;
        data.m_call = CallHandle();
        const bool withinLimit = pool.m_connections.size() - pool.m_closing <= pool.m_limits.m_maxConnections;
        const bool stillNeeded = !pool.m_removed || !pool.m_queue.empty();
        if (connection.state() == HttpConnection::State::Idle && data.m_reusable && withinLimit && stillNeeded)
            pool.m_idle.push_back(&connection);
        else
            close(connection);
    }

    void close(HttpConnection& connection)
    {
        ConnectionPool& pool = *connection.ownerData().m_pool;
        removeIdle(pool, connection);
        connection.ownerData().m_call = CallHandle();
        ++pool.m_closing;
        connection.close(pool.m_limits.m_closeTimeout);
    }

    void remove(HttpConnection& connection)
    {
        auto& all = connection.ownerData().m_pool->m_connections;
        all.erase(std::remove_if(all.begin(), all.end(),
                      [&connection](const auto& candidate) { return candidate.get() == &connection; }),
            all.end());
        --m_counters.m_connectionsOpen;
    }

    void removeIfUnused(const ConnectionPool& pool)
    {
        if (!pool.m_keepIfEmpty && pool.m_connections.empty() && pool.m_queue.empty())
            m_pools.erase(EndpointId(pool.m_endpoint));
    }

    static bool isSent(const RunningCall& call)
    {
        return call.m_connection && call.m_connection->state() != HttpConnection::State::Connecting;
    }

    /** Ends a call without an answer. Its connection is closed if the request was sent. */
    void abandon(RunningCall& call, EndpointReply reply)
    {
        ConnectionPool* pool = call.m_pool;
        HttpConnection* connection = call.m_connection;
        const CallHandle handle = call.m_handle;
        const bool sent = isSent(call);
        if (!sent)
            reply.m_outcome = CallOutcome::NotSent;
        post(call, std::move(reply));
        if (!pool)
            return;
        if (sent) {
            close(*connection);
            // Each hedge ends with a cancelled call. Without a replacement the next call would wait for a new
            // connection. Connections that fail are not replaced here, since that would cause a reconnect loop.
            refill(*pool);
        } else if (connection) {
            // The connection was reserved for this call. Once open, it serves other calls.
            connection->ownerData().m_reserved = false;
            connection->ownerData().m_call = CallHandle();
            ++pool->m_connecting;
        } else {
            auto& queue = pool->m_queue;
            queue.erase(std::remove(queue.begin(), queue.end(), handle), queue.end());
            removeIfUnused(*pool);
        }
    }

    /** Closes idle connections that have neither connected nor answered since the given time. */
    void retireInactive(ConnectionPool& pool, MonotonicTime time)
    {
        const auto idle = pool.m_idle;
        for (HttpConnection* connection : idle) {
            if (connection->ownerData().m_lastActiveAt >= time)
                continue;
            ++m_counters.m_connectionsRetired;
            close(*connection);
        }
    }

    void expire(RunningCall& call)
    {
        ConnectionPool* pool = call.m_pool;
        const bool sent = isSent(call);
        const MonotonicTime sentAt = call.m_sentAt;
        if (!sent) {
            abandon(call, failure(CallOutcome::NotSent, "the deadline passed while waiting for a connection"));
            return;
        }
        ++m_counters.m_connectionsRetired;
        abandon(call, failure(CallOutcome::TimedOut, "the endpoint did not answer in time"));
        if (m_settings.m_timeoutAffectsAllEndpoints) {
            for (auto& [endpoint, other] : m_pools)
                retireInactive(other, sentAt);
        } else {
            retireInactive(*pool, sentAt);
        }
        dispatchQueuedCalls(*pool);
    }

    void addDeadline(const CallDeadline& deadline)
    {
        m_deadlines.push(deadline);
        if (deadline.m_at < m_timerExpiry)
            armTimer();
    }

    void armTimer()
    {
        while (!m_deadlines.empty() && m_calls.count(m_deadlines.top().m_call) == 0)
            m_deadlines.pop();
        m_timerExpiry = m_deadlines.empty() ? MonotonicTime::max() : m_deadlines.top().m_at;
        if (m_deadlines.empty())
            return;
        m_timer.expires_at(m_timerExpiry);
        // A handler that is already queued when the client is destroyed is still called without an error.
        m_timer.async_wait([this, alive = std::weak_ptr<const bool>(m_alive)](const boost::system::error_code& error) {
            if (!error && !alive.expired())
                onTimer();
        });
    }

    void onTimer()
    {
        const MonotonicTime now = monotonicNow();
        while (!m_deadlines.empty() && m_deadlines.top().m_at <= now) {
            const auto found = m_calls.find(m_deadlines.top().m_call);
            m_deadlines.pop();
            if (found != m_calls.end())
                expire(found->second);
        }
        armTimer();
    }

    /** Removes the call, updates the counters and returns its handler. */
    EndpointReplyHandler finish(const RunningCall& call, EndpointReply& reply)
    {
        reply.m_elapsed = elapsedSince(call.m_startedAt);
        --m_counters.m_callsInFlight;
        switch (reply.m_outcome) {
        case CallOutcome::Answered:
            ++m_counters.m_callsAnswered;
            break;
        case CallOutcome::NotSent:
            ++m_counters.m_callsNotSent;
            break;
        case CallOutcome::ConnectionLost:
            ++m_counters.m_callsLost;
            break;
        case CallOutcome::TimedOut:
            ++m_counters.m_callsTimedOut;
            break;
        case CallOutcome::Cancelled:
            ++m_counters.m_callsCancelled;
            break;
        }
        auto node = m_calls.extract(CallHandle(call.m_handle));
        return std::move(node.mapped().m_handler);
    }

    /** Finishes the call and posts its handler to the io_context. */
    void post(RunningCall& call, EndpointReply reply)
    {
        EndpointReplyHandler handler = finish(call, reply);
        asio::post(m_context,
            [handler = std::move(handler), reply = std::move(reply)]() mutable { handler(std::move(reply)); });
    }

    void connected(HttpConnection& connection) override
    {
        ++m_counters.m_connectionsOpened;
        HttpConnection::OwnerData& data = connection.ownerData();
        ConnectionPool& pool = *data.m_pool;
        data.m_lastActiveAt = monotonicNow();
        if (!std::exchange(data.m_reserved, false)) {
            --pool.m_connecting;
            returnToPool(connection);
        } else if (RunningCall& call = m_calls.at(data.m_call); !dispatch(call, connection)) {
            post(call, failure(CallOutcome::NotSent, "the connection closed before the request was sent"));
        }
        dispatchQueuedCalls(pool);
        if (pool.m_removed) {
            while (!pool.m_idle.empty())
                close(*pool.m_idle.front());
        }
        removeIfUnused(pool);
    }

    void answered(HttpConnection& connection, EndpointReply reply) override
    {
        HttpConnection::OwnerData& data = connection.ownerData();
        ConnectionPool& pool = *data.m_pool;
        data.m_lastActiveAt = monotonicNow();
        const RunningCall& call = m_calls.at(data.m_call);
        data.m_reusable = data.m_reusable && !call.m_call.m_dedicatedConnection;
        const EndpointReplyHandler handler = finish(call, reply);
        returnToPool(connection);
        dispatchQueuedCalls(pool);
        // The handler is called last because it may destroy the client.
        handler(std::move(reply));
    }

    void closed(HttpConnection& connection, HttpConnection::State before, const std::string& text) override
    {
        const HttpConnection::OwnerData data = connection.ownerData();
        ConnectionPool& pool = *data.m_pool;
        switch (before) {
        case HttpConnection::State::Connecting:
            ++m_counters.m_connectionsFailed;
            failQueuedCall(pool, data, text);
            break;
        case HttpConnection::State::Closing:
            --pool.m_closing;
            break;
        case HttpConnection::State::Busy:
            ++m_counters.m_connectionsLost;
            post(m_calls.at(data.m_call), failure(CallOutcome::ConnectionLost, text));
            break;
        default:
            ++m_counters.m_connectionsLost;
            removeIdle(pool, connection);
        }
        remove(connection);
        dispatchQueuedCalls(pool);
        removeIfUnused(pool);
    }

    /** Fails the call that waited for a failed connection, unless another one is being opened for it. */
    void failQueuedCall(ConnectionPool& pool, const HttpConnection::OwnerData& data, const std::string& text)
    {
        if (data.m_reserved) {
            post(m_calls.at(data.m_call), failure(CallOutcome::NotSent, text));
            return;
        }
        --pool.m_connecting;
        const auto usesSharedConnection
            = [this](CallHandle handle) { return !m_calls.at(handle).m_call.m_dedicatedConnection; };
        const auto waiting = std::count_if(pool.m_queue.begin(), pool.m_queue.end(), usesSharedConnection);
        if (waiting <= static_cast<std::ptrdiff_t>(pool.m_connecting))
            return;
        const auto first = std::find_if(pool.m_queue.begin(), pool.m_queue.end(), usesSharedConnection);
        RunningCall& call = m_calls.at(*first);
        pool.m_queue.erase(first);
        post(call, failure(CallOutcome::NotSent, text));
    }

    asio::io_context& m_context;
    const EndpointProtocol& m_protocol;
    const EndpointClientSettings m_settings;
    std::shared_ptr<const bool> m_alive = std::make_shared<const bool>(true);
    MonotonicTimer m_timer;
    MonotonicTime m_timerExpiry = MonotonicTime::max();
    std::priority_queue<CallDeadline, std::vector<CallDeadline>, std::greater<>> m_deadlines;
    std::unordered_map<CallHandle, RunningCall> m_calls;
    std::unordered_map<EndpointId, ConnectionPool> m_pools;
    std::uint64_t m_lastHandle = 0;
    EndpointClientCounters m_counters;
};

EndpointClient::EndpointClient(
    asio::io_context& context, const EndpointProtocol& protocol, const EndpointClientSettings& settings)
    : m_impl(std::make_unique<Impl>(context, protocol, settings))
{
}

EndpointClient::~EndpointClient() = default;

CallHandle EndpointClient::start(EndpointCall call, EndpointReplyHandler handler)
{
    return m_impl->start(std::move(call), std::move(handler));
}

void EndpointClient::cancel(CallHandle handle) { m_impl->cancel(handle); }

void EndpointClient::cancelUnsent(CallHandle handle) { m_impl->cancelUnsent(handle); }

void EndpointClient::setLimits(const EndpointId& endpoint, const EndpointLimits& limits)
{
    m_impl->setLimits(endpoint, limits);
}

void EndpointClient::preconnect(
    const EndpointId& endpoint, const std::string& address, std::uint16_t port, std::uint32_t count)
{
    m_impl->preconnect(endpoint, address, port, count);
}

bool EndpointClient::tryConnect(const EndpointId& endpoint, const std::string& address, std::uint16_t port)
{
    return m_impl->tryConnect(endpoint, address, port);
}

void EndpointClient::removeEndpoint(const EndpointId& endpoint) { m_impl->removeEndpoint(endpoint); }

EndpointConnections EndpointClient::connections(const EndpointId& endpoint) const
{
    return m_impl->connections(endpoint);
}

const EndpointClientCounters& EndpointClient::counters() const { return m_impl->counters(); }

} // namespace flamingo
