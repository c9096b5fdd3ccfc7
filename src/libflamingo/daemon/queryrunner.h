#pragma once

#include "daemon/controlport.h"
#include "daemon/entryloopsettings.h"
#include "daemon/entrymetrics.h"
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

/** What the executions of one event loop share. */
struct LoopState {
    RoutingState m_routing;
    FingerprintMemory m_fingerprints;
    RandomEngine m_random;
    std::map<ServiceName, Admission> m_admission;
    std::uint64_t m_lastExecution = 0; // queries and requests share the numbers, since they wait for the same endpoints
    std::function<void(ExecutionId, EndpointIndex)> m_wake; // passes CapacityFreed to the execution
};

/** Returns the service's admission, created with the class weights of the settings at first use. */
Admission& serviceAdmission(LoopState& loop, const EntryLoopSettings& settings, const ServiceName& service);

/**
 * Runs queries on the query loop: carries out the effects of stepQuery() and feeds it events.
 *
 * Thread safety: none; all calls on the thread of the io_context. The references outlive the object.
 */
class QueryRunner {
public:
    using AnswerHandler = std::function<void(QueryAnswer)>;

    QueryRunner(boost::asio::io_context& io, EndpointClient& client, LoopState& loop, const EntryLoopSettings& settings,
        const ControlPort& control, EntryMetrics& metrics);
    ~QueryRunner();
    QueryRunner(const QueryRunner&) = delete;
    QueryRunner& operator=(const QueryRunner&) = delete;

    /** Starts a query; the handler is called exactly once, possibly before this returns. */
    void start(QueryRequest request, AnswerHandler handler);

    /** Tells all executions that a new published state was applied to the routing state. */
    void stateChanged();

    /** Passes on that the endpoint can take a call; does nothing if no query has the number. */
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
        CallerClass m_countedIn;
        MonotonicTime m_startedAt;
        MonotonicTimer m_timer;
        std::map<AttemptNumber, CallHandle> m_calls;
    };
    using RunningPtr = std::shared_ptr<Running>;

    void step(const RunningPtr& running, QueryEvent event);
    void carryOut(const RunningPtr& running, QueryEffects effects);
    void send(const RunningPtr& running, SendCall effect);
    void setTimer(const RunningPtr& running, MonotonicTime at);
    void finish(const RunningPtr& running, QueryAnswer answer);
    void reportDeath(const RunningPtr& running, ReportDeath report);
    void takeDecision(ExecutionId execution, Fingerprint fingerprint, const CommandResult& result);

    boost::asio::io_context& m_io;
    EndpointClient& m_client;
    LoopState& m_loop;
    const EntryLoopSettings& m_settings;
    const ControlPort& m_control;
    EntryMetrics& m_metrics;
    QuerySettings m_querySettings;
    std::unordered_map<ExecutionId, RunningPtr> m_running;
};

} // namespace flamingo
