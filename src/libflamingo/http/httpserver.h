#pragma once

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

/** One request that waits for its answer. Not thread-safe; on the thread of the server's io_context. */
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    /** Returns the request; what it holds may be moved away. */
    virtual HttpRequest& request() = 0;

    /** Answers the request; without effect if the caller has gone or an answer was given. */
    virtual void respond(HttpResponse response) = 0;

    /** Sets what is called, at most once, when the caller closes its connection before the answer. */
    virtual void onAbandoned(std::function<void()> handler) = 0;
};

using HttpHandler = std::function<void(std::shared_ptr<HttpExchange>)>;

/** Totals of an HttpServer since its start, for metrics. */
struct HttpServerCounters {
    std::uint64_t m_connectionsAccepted = 0;
    std::uint64_t m_connectionsOpen = 0; // at this moment
    std::uint64_t m_requests = 0;
    std::uint64_t m_requestsInFlight = 0; // at this moment
    std::uint64_t m_abandoned = 0; // callers that left before the answer
    std::uint64_t m_refusedRequests = 0; // malformed, too large or too slow
};

/**
 * HTTP/1.1 server on an event loop.
 *
 * It watches a connection while its request is under way, so that the work for a caller that has left can end. A
 * server with a thread for each connection does not see that.
 *
 * Thread safety: none; all calls on the thread of the io_context, which outlives the server, or while nothing runs it.
 */
class HttpServer {
public:
    /** The handler is called for each whole request. */
    HttpServer(boost::asio::io_context& io, HttpHandler handler);
    /** Closes all connections at once. */
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /** Opens the port. Returns false and fills the reason if that fails. Called once. */
    bool start(const SocketAddress& address, Reason& reason);

    /** Sets what callers may send from their next request on. */
    void setLimits(const CallerLimits& limits);

    /** Ends each connection with its next answer. New connections are still served. */
    void announceClose();

    /** Closes the port and all connections without a request; the others close after their answers. */
    void stopAccepting();

    /** Returns the totals. The reference is valid for the life of the server. */
    const HttpServerCounters& counters() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace flamingo
