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
    /** Prepares a server; opens nothing. */
    ApiServer(ApiSettings settings, ApiHandlers handlers);
    /** Stops the server. */
    ~ApiServer();
    ApiServer(const ApiServer&) = delete;
    ApiServer& operator=(const ApiServer&) = delete;

    /** Opens the port and starts to answer. Called once. Returns false and fills the reason if that fails. */
    bool start(Reason& reason);

    /** Returns the port in use, or the given one before start(). */
    std::uint16_t port() const;

    /** From now on refuses new work with Stopping and fails the health check. Status and metrics go on. */
    void beginShutdown();

    /** Returns the number of requests of which the first line has arrived and the answer is not yet written. */
    std::size_t inFlight() const;

    /**
     * Begins the shutdown, accepts no more connections, waits until no answer is in flight, at most the stop timeout of
     * the settings, and closes the port and all connections. Handlers must return in bounded time.
     *
     * Returns false if answers were cut off after the timeout.
     */
    bool stop();

private:
    class Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace flamingo
