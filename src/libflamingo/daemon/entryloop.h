#pragma once

#include "daemon/queryrunner.h"
#include "daemon/requestrunner.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <set>
#include <thread>

namespace flamingo {

/**
 * The event loop of the entry role and its thread: runs queries, requests, routing and the connections to endpoints.
 *
 * Thread safety: run() and stop() from one thread; the other methods from any thread except the loop's.
 */
class EntryLoop {
public:
    /** The proxy and the metrics must outlive the loop. */
    EntryLoop(EntryLoopSettings settings, const ControlLoopProxy& control, DaemonMetrics& metrics);
    ~EntryLoop();
    EntryLoop(const EntryLoop&) = delete;
    EntryLoop& operator=(const EntryLoop&) = delete;

    /** Starts the thread. */
    void run();
    /** Stops the loop and joins the thread. Precondition: query(), request() and updateState() are no longer called. */
    void stop();

    /**
     * Applies a new published state; returns when all new work uses it.
     *
     * The changes lead to it from the previous state; null if they are not known.
     */
    void updateState(std::shared_ptr<const PublishedState> state, const std::vector<Change>* changes);
    /** Returns the state applied last; null before the first one. */
    std::shared_ptr<const PublishedState> state() const;

    /** Runs a query and returns its answer. Precondition: the loop runs. */
    QueryAnswer query(QueryRequest request);
    /** Runs a request of a declared kind and returns its answer. Precondition: the loop runs. */
    CallerAnswer request(CallerRequest request);

    /** Copies the counters of routing and of the endpoint client into the metrics. Precondition: the loop runs. */
    void collectMetrics();

private:
    template <typename Work> void runOnLoop(Work work);
    void applyState(std::shared_ptr<const PublishedState> state, const std::vector<Change>* changes);
    void updateConnections(const std::vector<Change>* changes);
    void connectEndpoint(EndpointIndex endpoint);
    void scheduleTick();
    void tick();

    EntryLoopSettings m_settings;
    const ControlLoopProxy& m_control;
    DaemonMetrics& m_metrics;
    boost::asio::io_context m_io;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    boost::asio::steady_timer m_ticker;
    std::unique_ptr<EndpointClient> m_endpointClient;
    LoopState m_loop;
    QueryRunner m_queries;
    RequestRunner m_requests;
    std::shared_ptr<const PublishedState> m_published; // read and written with std::atomic_load and std::atomic_store
    std::set<EndpointId> m_connected; // endpoints whose limits are set in m_endpointClient
    bool m_leaseWasValid = false; // at the last tick
    std::thread m_thread;
};

} // namespace flamingo
