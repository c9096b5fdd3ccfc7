#pragma once

#include "daemon/queryrunner.h"
#include "request/requestexecution.h"

namespace flamingo {

/**
 * Runs requests of declared kinds on the query loop: carries out the effects of stepRequest() and feeds it events.
 *
 * Thread safety: none; all calls on the thread of the io_context. The references outlive the object.
 */
class RequestRunner {
public:
    using AnswerHandler = std::function<void(CallerAnswer)>;

    RequestRunner(boost::asio::io_context& io, EndpointClient& client, LoopState& loop,
        const EntryLoopSettings& settings, const ControlPort& control, EntryMetrics& metrics);
    RequestRunner(const RequestRunner&) = delete;
    RequestRunner& operator=(const RequestRunner&) = delete;

    /** Starts a request; the handler is called exactly once, possibly before this returns. */
    void start(CallerRequest request, AnswerHandler handler);

    /** Tells all executions that a new published state was applied to the routing state. */
    void stateChanged();

    /** Passes on that the endpoint can take a call; does nothing if no request has the number. */
    void wake(ExecutionId execution, EndpointIndex endpoint);

private:
    struct Running {
        explicit Running(boost::asio::io_context& io)
            : m_timer(io)
        {
        }
        RequestExecution m_execution;
        AnswerHandler m_handler;
        CallerClass m_countedIn;
        MonotonicTime m_startedAt;
        MonotonicTimer m_timer;
        std::map<AttemptNumber, CallHandle> m_calls;
        bool m_recording = false; // the answer is on its way into the claim
        std::optional<CallerAnswer> m_held; // success that waits for its record
    };
    using RunningPtr = std::shared_ptr<Running>;

    void step(const RunningPtr& running, RequestEvent event);
    void carryOut(const RunningPtr& running, RequestEffects effects);
    void openClaim(const RunningPtr& running, OpenClaim claim);
    void send(const RunningPtr& running, EndpointCall call);
    void setTimer(const RunningPtr& running, MonotonicTime at);
    void reportDeath(const RunningPtr& running, ReportDeath report);
    void settleClaim(const RunningPtr& running, SettleClaim settle);
    void holdUntilRecorded(const RunningPtr& running, CallerAnswer answer);
    void release(const RunningPtr& running, bool recorded);
    void submit(CommandBody body);
    void finish(const RunningPtr& running, CallerAnswer answer);

    boost::asio::io_context& m_io;
    EndpointClient& m_client;
    LoopState& m_loop;
    const EntryLoopSettings& m_settings;
    const ControlPort& m_control;
    EntryMetrics& m_metrics;
    RequestSettings m_requestSettings;
    std::unordered_map<ExecutionId, RunningPtr> m_running; // also those that answered and still wait for a claim
};

} // namespace flamingo
