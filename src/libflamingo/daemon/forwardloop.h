#pragma once

#include "base/bytebudget.h"
#include "base/monotonictimer.h"
#include "control/leaseview.h"
#include "daemon/controlloopproxy.h"
#include "daemon/forwardrunner.h"
#include "daemon/quotalink.h"
#include "endpoint/endpointclient.h"
#include "forward/callerprotocol.h"
#include "forward/shutdownplan.h"
#include "http/httpserver.h"
#include "settings/settings.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <optional>
#include <set>
#include <thread>

namespace flamingo {

/**
 * The event loop of the routes role and its thread: serves callers, forwards their requests and calls endpoints.
 *
 * Thread safety: start(), shutDown() and stop() from one thread; updateState() from any thread except the loop's.
 */
class ForwardLoop {
public:
    /** The references must outlive the loop. */
    ForwardLoop(const Settings& settings, const CallerProtocol& protocol, const ControlLoopProxy& control,
        MetricsRegistry& metrics);
    ~ForwardLoop();
    ForwardLoop(const ForwardLoop&) = delete;
    ForwardLoop& operator=(const ForwardLoop&) = delete;

    /** Opens the ports and starts the thread. Returns false and sets the reason if that fails. */
    bool start(Reason& reason);

    /**
     * Shuts down gracefully: fails the load balancer's probes, continues to serve for the drain wait of the settings,
     * so that the balancer notices, closes the ports and waits for the requests in flight. Takes at most the grace
     * period. A request that arrives too late to be served is refused, and one that is in flight shortly before the end
     * fails, so that no connection is closed without an answer.
     */
    void shutDown(Milliseconds grace);

    /** Stops the loop and joins the thread; requests in flight are dropped. */
    void stop();

    /**
     * Applies a new published state; returns when all new requests use it.
     *
     * The changes lead to it from the previous state; null if they are not known.
     */
    void updateState(std::shared_ptr<const PublishedState> state, const std::vector<Change>* changes);

    /** Calls the function on the loop and waits for it. Precondition: the loop runs and is not the calling thread. */
    void runOnLoop(const std::function<void()>& work);

private:
    void applyState(std::shared_ptr<const PublishedState> state, const std::vector<Change>* changes);
    void updateConnections(const std::vector<Change>* changes);
    void connectEndpoint(EndpointIndex index);
    void handleMerge(const std::shared_ptr<HttpExchange>& exchange);
    void handleVmCall(const std::shared_ptr<HttpExchange>& exchange);
    void handleRelay(const std::shared_ptr<HttpExchange>& exchange);
    void handleMergeResume(const std::shared_ptr<HttpExchange>& exchange);
    void handleRequest(const std::shared_ptr<HttpExchange>& exchange);
    void requestQuota(const std::shared_ptr<HttpExchange>& exchange, ForwardRequest request, const Customer& customer);
    void startRequest(const std::shared_ptr<HttpExchange>& exchange, ForwardRequest request);
    void refuse(HttpExchange& exchange, const RequestId& id, ResultCode code, const char* text);
    void refuseForQuota(HttpExchange& exchange, const ForwardRequest& request, Milliseconds retryAfter);
    std::optional<Reason> refusal() const;
    bool refusesWhileStopping(Milliseconds timeout);
    void handleProbe(HttpExchange& exchange);
    void checkReachability(MonotonicTime now);
    void testConnections();
    void scheduleTick();
    void tick();
    void logLeavingEndpoints();
    void reclaimMemory();
    /** Returns free memory to the system once little is held again after the limit was exceeded. */
    void trimMemory();
    void logClosedConnections();
    void observeMetrics(MetricsRegistry& metrics);

    const Settings& m_settings;
    const CallerProtocol& m_protocol;
    ByteBudget m_callerBytes; // held for callers: requests, answers of endpoints, and answers that are not read yet
    bool m_reclaimPosted = false;
    bool m_trimDue = false; // the limit was exceeded since the last trim
    std::shared_ptr<const LeaseView> m_lease;
    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    MonotonicTimer m_ticker;
    ForwardState m_state;
    std::size_t m_relaysInFlight = 0; // requests that this VM serves for others
    std::uint64_t m_relaysServed = 0;
    std::uint64_t m_relaysRefused = 0;
    std::uint64_t m_leavingNamed = 0; // endpoints that said in an answer that they leave
    EndpointClient m_endpointClient;
    EndpointClient m_mergeClient; // to other VMs that merge shards
    ForwardRunner m_runner;
    QuotaLink m_quotas;
    std::uint64_t m_unknownKeys = 0; // requests refused since no customer holds their key
    HttpServer m_callerServer;
    HttpServer m_probeServer; // health checks of the load balancer
    HttpServer m_mergeServer; // calls of other VMs for which this VM merges shards
    std::set<EndpointId> m_connected; // endpoints whose limits are set in m_endpointClient
    MonotonicTime m_confirmedAt; // when a leader last confirmed the state, as far as known
    bool m_stateFresh = false; // whether the state was confirmed within the stale limit, as of the last tick
    std::optional<ShutdownPlan> m_shutdown; // set once a planned stop has begun
    std::uint64_t m_refusedWhileStopping = 0;
    HttpServerCounters m_loggedCounters; // of the caller server, as of the last log line about closed connections
    std::thread m_thread;
};

} // namespace flamingo
