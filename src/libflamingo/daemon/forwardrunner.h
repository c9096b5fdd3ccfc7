#pragma once

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

/** Counts of a ForwardRunner since its start, for metrics. */
struct ForwardCounters {
    std::uint64_t m_requests = 0;
    std::uint64_t m_calls = 0;
    std::uint64_t m_hedges = 0;
    std::uint64_t m_abandoned = 0; // requests whose callers left
};

/**
 * Runs forwarded requests on an event loop: carries out the effects of the execution and feeds it events.
 *
 * Calls that are still open after the answer run on, so that their connections can be used again; those of a caller
 * that has left are cancelled.
 *
 * Thread safety: none; all calls on the thread of the io_context. The references outlive the object.
 */
class ForwardRunner {
public:
    using AnswerHandler = std::function<void(ForwardAnswer)>;

    ForwardRunner(boost::asio::io_context& io, EndpointClient& endpoints, EndpointClient& mergers, ForwardState& state,
        MetricsRegistry& metrics);
    ~ForwardRunner();
    ForwardRunner(const ForwardRunner&) = delete;
    ForwardRunner& operator=(const ForwardRunner&) = delete;

    /**
     * Starts a request with a route; the handler is called at most once, possibly before this returns.
     *
     * It is not called after abandon().
     */
    ExecutionId start(ForwardRequest request, AnswerHandler handler);

    /**
     * Goes on with a group of shards whose last answer said that more follows; the handler is called as for start().
     *
     * Returns nothing if that work has ended or is not known here.
     */
    std::optional<ExecutionId> resume(const MergeResumeCall& rest, AnswerHandler handler);

    /** Ends the request, whose caller has left; without effect once it is answered. */
    void abandon(ExecutionId execution);

    /** Returns the number of requests that are not yet answered. */
    std::size_t inFlight() const { return m_running.size(); }

    const ForwardCounters& counters() const { return m_counters; }

private:
    struct Running;
    using RunningPtr = std::shared_ptr<Running>;

    void carryOut(const RunningPtr& running, ForwardEffects effects);
    void send(const RunningPtr& running, ForwardEffects::Send effect);
    void takeReply(const RunningPtr& running, AttemptNumber attempt, EndpointReply reply);
    void logFailedCall(const Running& running, AttemptNumber attempt, const EndpointReply& reply) const;
    void setTimer(const RunningPtr& running, MonotonicTime at);
    void wake(ExecutionId execution);
    void finish(const RunningPtr& running, ForwardAnswer answer);
    void forget(const Running& running);
    void learnLag(const ForwardExecution& execution);
    void record(const ForwardExecution& execution, const ForwardAnswer& answer, Microseconds elapsed);

    boost::asio::io_context& m_io;
    EndpointClient& m_endpoints;
    EndpointClient& m_mergers; // other VMs that merge shards
    ForwardState& m_state;
    CallerMetricsTable m_metrics;
    ForwardCounters m_counters;
    std::uint64_t m_lastExecution = 0;
    std::unordered_map<ExecutionId, RunningPtr> m_running;
    std::map<std::pair<RequestId, ServiceName>, ExecutionId> m_paused; // by request and first shard of the group
};

} // namespace flamingo
