#pragma once

#include "daemon/controlloopproxy.h"
#include "daemon/daemonmetrics.h"
#include "daemon/entryloopsettings.h"
#include "endpoint/callhandle.h"
#include "query/queryexecution.h"
#include "routing/admission.h"

#include "base/monotonictimer.h"
#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>

namespace flamingo {

class EndpointClient;

/** State shared by the executions of one event loop. */
struct LoopState {
    RoutingState m_routing;
    FingerprintMemory m_fingerprints;
    RandomEngine m_random;
    std::map<ServiceName, Admission> m_admission;
    std::uint64_t m_lastExecution = 0; // shared by queries and requests, which wait for the same endpoints
    std::function<void(ExecutionId, EndpointIndex)> m_wake; // passes CapacityFreed to the execution
};

/** Returns the service's admission, created with the class weights of the settings at first use. */
Admission& serviceAdmission(LoopState& loop, const EntryLoopSettings& settings, const ServiceName& service);

/**
 * Runs queries on the entry loop: carries out the effects of stepQuery() and feeds it events.
 *
 * Thread safety: none; all calls on the thread of the io_context. The references outlive the object.
 */
class QueryRunner {
public:
    using AnswerHandler = std::function<void(QueryAnswer)>;

    QueryRunner(boost::asio::io_context& io, EndpointClient& endpointClient, LoopState& loop,
        const EntryLoopSettings& settings, const ControlLoopProxy& control, DaemonMetrics& metrics);
    ~QueryRunner();
    QueryRunner(const QueryRunner&) = delete;
    QueryRunner& operator=(const QueryRunner&) = delete;

    /** Starts a query; the handler is called exactly once, possibly before this returns. */
    void start(QueryRequest request, AnswerHandler handler);

    /** Passes StateChanged to all executions after a new published state was applied to the routing state. */
    void stateChanged();

    /** Passes CapacityFreed to the execution; does nothing if it is not a running query. */
    void wake(ExecutionId execution, EndpointIndex endpoint);

    /** Returns the number of queries that are not yet answered. */
    std::size_t inFlight() const { return m_running.size(); }

private:
    struct Running {
        explicit Running(boost::asio::io_context& io)
            : m_timer(io)
        {
        }
        QueryExecution m_execution;
        AnswerHandler m_handler;
        CallerClass m_countedIn; // class returned by admitExecution()
        MonotonicTime m_startedAt;
        MonotonicTimer m_timer;
        std::map<AttemptNumber, CallHandle> m_calls; // calls in flight
    };
    using RunningPtr = std::shared_ptr<Running>;

    void step(const RunningPtr& running, QueryEvent event);
    void carryOut(const RunningPtr& running, QueryEffects effects);
    void send(const RunningPtr& running, SendCall effect);
    void setTimer(const RunningPtr& running, MonotonicTime at);
    void finish(const RunningPtr& running, QueryAnswer answer);
    void reportDeath(const RunningPtr& running, ReportDeath report);
    void handleQuarantineDecision(ExecutionId execution, Fingerprint fingerprint, const CommandResult& result);

    boost::asio::io_context& m_io;
    EndpointClient& m_endpointClient;
    LoopState& m_loop;
    const EntryLoopSettings& m_settings;
    const ControlLoopProxy& m_control;
    DaemonMetrics& m_metrics;
    QuerySettings m_querySettings;
    std::unordered_map<ExecutionId, RunningPtr> m_running;
};

} // namespace flamingo
