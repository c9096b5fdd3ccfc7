#pragma once

#include "daemon/crashreporter.h"
#include "endpoint/callhandle.h"
#include "forward/forwardexecution.h"
#include "forward/mergewire.h"
#include "metrics/callermetricstable.h"
#include "metrics/metricsregistry.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>

namespace flamingo {

class EndpointClient;

/** Counters of a ForwardRunner since its creation, for metrics. */
struct ForwardCounters {
    std::uint64_t m_requests = 0;
    std::uint64_t m_calls = 0;
    std::uint64_t m_hedges = 0;
    std::uint64_t m_relayed = 0; // calls to other VMs to serve a request
    std::uint64_t m_abandoned = 0; // requests whose callers disconnected
    std::uint64_t m_refusedForRoom = 0; // requests refused at once, since too many wait for the endpoints
    std::uint64_t m_quarantined = 0; // requests refused since they crash endpoints
};

/**
 * Runs forwarded requests on an event loop: carries out the effects of the execution and feeds it events.
 *
 * Calls in flight continue after the answer, so that their connections can be reused. They are cancelled if the caller
 * has disconnected.
 *
 * Thread safety: none; all calls on the thread of the io_context. The references outlive the object.
 */
class ForwardRunner {
public:
    using AnswerHandler = std::function<void(ForwardAnswer)>;

    ForwardRunner(boost::asio::io_context& io, EndpointClient& endpointClient, EndpointClient& mergeClient,
        ForwardState& state, const ControlLoopProxy& control, MetricsRegistry& metrics);
    ~ForwardRunner();
    ForwardRunner(const ForwardRunner&) = delete;
    ForwardRunner& operator=(const ForwardRunner&) = delete;

    /**
     * Starts a request; the handler is called at most once, possibly before this returns, and not after abandon().
     *
     * Precondition: the request has its route.
     */
    ExecutionId start(ForwardRequest request, AnswerHandler handler);

    /**
     * Resumes the execution of a group of shards whose last answer set m_moreFollows; calls the handler as start()
     * does.
     *
     * Returns nothing if the execution has ended or is not known to this VM.
     */
    std::optional<ExecutionId> resume(const MergeResumeCall& call, AnswerHandler handler);

    /** Ends a request whose caller has disconnected; has no effect once the request is answered. */
    void abandon(ExecutionId execution);

    /** Lets all requests without an answer look for another way, after this VM has lost its links to the endpoints. */
    void reconsiderAll();

    /** Decides on endpoints that lost calls, and refutes quarantines. Called after each change of the published state.
     */
    void updateCrashWatch() { m_crashReporter.update(); }

    /** Answers all requests by the time at the latest, those that start later included. */
    void answerAllBy(MonotonicTime time);

    /** Returns the number of requests that are not yet answered. */
    std::size_t inFlight() const { return m_running.size(); }

    const ForwardCounters& counters() const { return m_counters; }
    const CrashReportCounters& crashCounters() const { return m_crashReporter.counters(); }

private:
    struct AnswerSummary;
    struct Running;
    using RunningPtr = std::shared_ptr<Running>;

    void carryOut(const RunningPtr& running, ForwardEffects effects);
    void send(const RunningPtr& running, ForwardEffects::Send effect);
    void watchLostCalls(ForwardExecution& execution);
    void cancelUnsent(const Running& running, AttemptNumber attempt);
    void handleReply(const RunningPtr& running, AttemptNumber attempt, EndpointReply reply);
    void logFailedCall(const Running& running, AttemptNumber attempt, const EndpointReply& reply) const;
    void setTimer(const RunningPtr& running, MonotonicTime at);
    void wake(ExecutionId execution);
    void finish(const RunningPtr& running, ForwardAnswer answer);
    void erase(const Running& running);
    void updateGoalLag(const ForwardExecution& execution);
    static void logAnswer(const Running& running, const AnswerSummary& answer, MonotonicClock::duration elapsed);
    void recordMetrics(const ForwardExecution& execution, const AnswerSummary& answer, Microseconds elapsed);

    boost::asio::io_context& m_io;
    EndpointClient& m_endpointClient;
    EndpointClient& m_mergeClient; // for calls to merging VMs
    ForwardState& m_state;
    CrashReporter m_crashReporter;
    CallerMetricsTable m_metrics;
    ForwardCounters m_counters;
    std::uint64_t m_lastExecution = 0;
    std::unordered_map<ExecutionId, RunningPtr> m_running;
    // Executions that resume() accepts, by request and first shard of the group.
    std::map<std::pair<RequestId, ServiceName>, ExecutionId> m_paused;
};

} // namespace flamingo
