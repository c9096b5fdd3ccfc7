#pragma once

#include "daemon/queryrunner.h"
#include "request/requestexecution.h"

namespace flamingo {

/**
 * Runs requests of declared kinds on the entry loop: carries out the effects of stepRequest() and feeds it events.
 *
 * Thread safety: none; all calls on the thread of the io_context. The references outlive the object.
 */
class RequestRunner {
public:
    using AnswerHandler = std::function<void(CallerAnswer)>;

    RequestRunner(boost::asio::io_context& io, EndpointClient& endpointClient, LoopState& loop,
        const EntryLoopSettings& settings, const ControlLoopProxy& control, DaemonMetrics& metrics);
    RequestRunner(const RequestRunner&) = delete;
    RequestRunner& operator=(const RequestRunner&) = delete;

    /** Starts a request; the handler is called exactly once, possibly before this returns. */
    void start(CallerRequest request, AnswerHandler handler);

    /** Passes StateChanged to all executions after a new published state was applied to the routing state. */
    void stateChanged();

    /** Passes CapacityFreed to the execution; does nothing if it is not a running request. */
    void wake(ExecutionId execution, EndpointIndex endpoint);

private:
    struct Running {
        explicit Running(boost::asio::io_context& io)
            : m_timer(io)
        {
        }
        RequestExecution m_execution;
        AnswerHandler m_handler;
        CallerClass m_countedIn; // class returned by admitExecution()
        MonotonicTime m_startedAt;
        MonotonicTimer m_timer;
        std::map<AttemptNumber, CallHandle> m_calls; // calls in flight
        bool m_recording = false; // the command that records the answer in the claim is in progress
        std::optional<CallerAnswer> m_unrecordedAnswer; // successful answer, held back until it is recorded
    };
    using RunningPtr = std::shared_ptr<Running>;

    void step(const RunningPtr& running, RequestEvent event);
    void carryOut(const RunningPtr& running, RequestEffects effects);
    void openClaim(const RunningPtr& running, OpenClaim claim);
    void send(const RunningPtr& running, EndpointCall call);
    void setTimer(const RunningPtr& running, MonotonicTime at);
    void reportDeath(const RunningPtr& running, ReportDeath report);
    void settleClaim(const RunningPtr& running, SettleClaim settle);
    void finishOnceRecorded(const RunningPtr& running, CallerAnswer answer);
    void releaseAnswer(const RunningPtr& running, bool recorded);
    void submit(CommandBody body);
    void finish(const RunningPtr& running, CallerAnswer answer);

    boost::asio::io_context& m_io;
    EndpointClient& m_endpointClient;
    LoopState& m_loop;
    const EntryLoopSettings& m_settings;
    const ControlLoopProxy& m_control;
    DaemonMetrics& m_metrics;
    RequestSettings m_requestSettings;
    // Includes answered requests that still wait for the result of a claim.
    std::unordered_map<ExecutionId, RunningPtr> m_running;
};

} // namespace flamingo
