#pragma once

#include "api/apihandlers.h"
#include "api/apisettings.h"
#include "base/reason.h"

#include <cstddef>
#include <cstdint>
#include <memory>

namespace flamingo {

/**
 * HTTP server for callers, endpoints, operators, the load balancer and metrics; docs/api.md describes
 * the interface.
 *
 * Thread safety: start(), stop() and the destructor are called on one thread; the other methods on any.
 */
class ApiServer {
public:
    /** Creates a server; the port is opened by start(). */
    ApiServer(ApiSettings settings, ApiHandlers handlers);
    /** Stops the server. */
    ~ApiServer();
    ApiServer(const ApiServer&) = delete;
    ApiServer& operator=(const ApiServer&) = delete;

    /** Opens the port and starts to serve. Called once. Returns false and sets the reason if that fails. */
    bool start(Reason& reason);

    /** Returns the port in use, or the configured one before start(). */
    std::uint16_t port() const;

    /** Refuses new work with Stopping and fails the health check from now on; still serves status and metrics. */
    void beginShutdown();

    /** Returns the number of requests whose first line has arrived and whose answer is not yet written. */
    std::size_t inFlight() const;

    /**
     * Shuts down gracefully: refuses new work, waits until no request is in flight, at most for the stop timeout of the
     * settings, stops accepting connections, and closes the port and all connections.
     *
     * Handlers must return in bounded time. Returns false if requests were still in flight after the timeout.
     */
    bool stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace flamingo
