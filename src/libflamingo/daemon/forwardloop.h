#pragma once

#include "base/monotonictimer.h"
#include "control/leaseview.h"
#include "daemon/forwardrunner.h"
#include "endpoint/endpointclient.h"
#include "forward/callerprotocol.h"
#include "http/httpserver.h"
#include "settings/settings.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <memory>
#include <set>
#include <thread>

namespace flamingo {

/**
 * The loop of the routes role with its thread: callers' connections, forwarding and connections to endpoints.
 *
 * Thread safety: start(), shutDown() and stop() from one thread; takeState() from any other thread than the loop's.
 */
class ForwardLoop {
public:
    /** The protocol and the registry must outlive the loop. */
    ForwardLoop(const Settings& settings, const CallerProtocol& protocol, std::shared_ptr<const LeaseView> lease,
        MetricsRegistry& metrics);
    ~ForwardLoop();
    ForwardLoop(const ForwardLoop&) = delete;
    ForwardLoop& operator=(const ForwardLoop&) = delete;

    /** Opens the ports and starts the thread. Returns false and fills the reason if that fails. */
    bool start(Reason& reason);

    /**
     * Shuts down gracefully: fails the load balancer's probes, serves on until the balancer has noticed, closes the
     * port and waits for the requests in flight, at most for the grace in all.
     */
    void shutDown(Milliseconds grace);

    /** Stops the loop and joins the thread; requests in flight are dropped. */
    void stop();

    /** Takes over a new published state; returns when all new requests use it. */
    void takeState(std::shared_ptr<const PublishedState> state, const std::vector<Change>* changes);

    /** Calls the function on the loop and waits for it. Precondition: the loop runs and is not the calling thread. */
    void runOnLoop(const std::function<void()>& work);

private:
    void applyState(std::shared_ptr<const PublishedState> state, const std::vector<Change>* changes);
    void updateConnections(const std::vector<Change>* changes);
    void connectEndpoint(EndpointIndex index);
    void handleMerge(const std::shared_ptr<HttpExchange>& exchange);
    void handleMergeRest(const std::shared_ptr<HttpExchange>& exchange);
    void handleRequest(const std::shared_ptr<HttpExchange>& exchange);
    void refuse(HttpExchange& exchange, const RequestId& id, ResultCode code, const char* text);
    std::optional<Reason> refusal() const;
    void handleProbe(HttpExchange& exchange);
    void scheduleTick();
    void tick();
    void observeMetrics(MetricsRegistry& metrics);

    const Settings& m_settings;
    const CallerProtocol& m_protocol;
    std::shared_ptr<const LeaseView> m_lease;
    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    MonotonicTimer m_ticker;
    ForwardState m_state;
    EndpointClient m_client;
    EndpointClient m_mergeClient; // to other VMs that merge shards
    ForwardRunner m_runner;
    HttpServer m_callers;
    HttpServer m_probes;
    HttpServer m_merges; // calls of other VMs for shards
    std::set<EndpointId> m_connected; // endpoints with limits set at the client
    MonotonicTime m_confirmedAt; // a leader confirmed the state at this time, or later
    bool m_fresh = false; // the state was confirmed within the limit at the last tick
    bool m_stopping = false;
    std::thread m_thread;
};

} // namespace flamingo
