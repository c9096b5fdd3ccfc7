#pragma once

#include "base/bytebudget.h"
#include "base/heldbytes.h"
#include "base/reason.h"
#include "http/httpmessages.h"
#include "routes/routeconfiguration.h"
#include "settings/socketaddress.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace flamingo {

/** A request and the means to answer it. Not thread-safe; used on the thread of the server's io_context. */
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    /** Returns the request; its contents may be moved out. */
    virtual HttpRequest& request() = 0;

    /** Answers the request. Does nothing if the caller has disconnected or the request was already answered. */
    virtual void respond(HttpResponse response) = 0;

    /** Counts what is held for this request elsewhere, until its last user releases it. */
    virtual std::shared_ptr<HeldBytes> heldBytes() = 0;

    /** Sets the function to call, at most once, if the caller closes its connection before the answer. */
    virtual void onAbandoned(std::function<void()> handler) = 0;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

/** Counts of an HttpServer for metrics; totals since its start unless stated otherwise. */
struct HttpServerCounters {
    std::uint64_t m_connectionsAccepted = 0;
    std::uint64_t m_connectionsOpen = 0; // current number
    std::uint64_t m_requests = 0;
    std::uint64_t m_requestsInFlight = 0; // current number
    std::uint64_t m_abandoned = 0; // requests whose callers disconnected before the answer
    std::uint64_t m_refusedRequests = 0; // malformed, too large or too slow
    std::uint64_t m_failedRequests = 0; // answered with status 500 after an exception in the handler
    std::uint64_t m_closedForMemory = 0; // connections closed, since too much memory was held for callers
    std::uint64_t m_closedForRoom = 0; // connections closed, so that a new one could be accepted
    std::uint64_t m_refusedConnections = 0; // closed at once, since no other one could be closed
};

/**
 * HTTP/1.1 server on an event loop.
 *
 * While a request is in flight, the server watches its connection, so that the work for a caller that has disconnected
 * can be abandoned. A server with a thread per connection does not notice a disconnect at that time.
 *
 * Not thread-safe. All methods are called on the thread that runs the io_context, or while nothing runs it. The
 * io_context must outlive the server.
 */
class HttpServer {
public:
    /** Creates a server that calls the handler for each complete request. */
    HttpServer(boost::asio::io_context& io, HttpHandler handler);
    /** Closes all connections at once. */
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /** Opens the port. Returns false and sets the reason if that fails. Called once. */
    bool start(const SocketAddress& address, Reason& reason);

    /** Sets the limits, which apply from the next request of each connection on. */
    void setLimits(const CallerLimits& limits);

    /** Counts what connections hold in the budget, which must outlive the server. Called before start(). */
    void setBudget(ByteBudget& budget);

    /** Limits the open connections; a new one beyond the limit replaces the one that has been idle longest. */
    void setMaxConnections(std::size_t count);

    /** Closes the connection whose caller is slowest, or that holds most. Returns false if none is worth closing. */
    bool closeSlowest();

    /** Closes each connection after its next answer, which announces that. New connections are still served. */
    void announceClose();

    /**
     * Closes the port and all idle connections. The other connections are closed after their answers; these are the
     * ones with a request that is in flight, half received, or received and not yet read. All connections are closed
     * when m_connectionsOpen of the counters is 0.
     */
    void stopAccepting();

    /** Returns the counters. The reference is valid for the lifetime of the server. */
    const HttpServerCounters& counters() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace flamingo
