#pragma once

#include "endpoint/endpointcall.h"
#include "forward/forwardanswer.h"
#include "forward/forwardrequest.h"
#include "forward/forwardstate.h"
#include "routing/attempt.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace flamingo {

/** What one service contributes to a forwarded request. */
struct ForwardPart {
    enum class State {
        Open,
        Answered,
        Lost, // no further attempt will be made
    };

    ServiceName m_service; // of the endpoints, or of the VMs that own the group
    std::vector<ServiceName> m_group; // shards that a merging VM is asked for; empty for a single service
    State m_state = State::Open;
    std::uint32_t m_openCalls = 0;
    std::uint32_t m_mayHaveRun = 0; // calls that ran or may have run
    std::uint32_t m_refused = 0; // calls that an endpoint refused as not run
    std::uint32_t m_notReached = 0; // calls that never left this VM
    std::vector<EndpointIndex> m_tried;
    MonotonicTime m_hedgeAt = MonotonicTime::max();
    MonotonicTime m_retryAt = MonotonicTime::max(); // no call is open before this time
    bool m_waiting = false; // entered at the routing state for a free endpoint
    std::optional<EndpointReply> m_reply; // the answer, or the last failure of an endpoint
    std::vector<std::string> m_receipts; // of the shards that are answered
    std::string m_records; // of these shards
    std::optional<EndpointIndex> m_restOwner; // merging VM that still works on the rest of the group
    bool m_delivered = false; // on a merging VM: contained in an answer that was given

    std::uint32_t shards() const { return m_group.empty() ? 1U : static_cast<std::uint32_t>(m_group.size()); }
};

/** One call of an execution. */
struct ForwardCall {
    std::size_t m_part = 0;
    Attempt m_attempt;
    bool m_hedge = false;
};

/** A caller's request on its way to endpoints. A plain value for one event loop. */
struct ForwardExecution {
    ExecutionId m_id;
    ForwardRequest m_request;
    MonotonicTime m_deadline; // of the final answer
    MonotonicTime m_goalAt = MonotonicTime::max(); // from then on an answer that reaches the floor goes out
    std::vector<ForwardPart> m_parts;
    std::vector<ForwardCall> m_calls; // by attempt number
    std::uint32_t m_shards = 0;
    std::uint32_t m_answered = 0; // shards
    std::uint32_t m_lost = 0; // shards
    // On a merging VM: an answer without all shards was given, and the rest may be asked for until this time.
    std::optional<MonotonicTime> m_pausedUntil;
    bool m_finished = false;
};

/** What the owner of an execution has to do, in this order. */
struct ForwardEffects {
    struct Send {
        AttemptNumber m_attempt;
        EndpointCall m_call;
        bool m_hedge = false;
        bool m_toMerger = false; // to a merging VM, not to an endpoint
    };

    std::vector<Send> m_sends;
    // At most one in the life of an execution; after one that says that more follows, another one for each
    // resumeForward().
    std::optional<ForwardAnswer> m_answer;
    std::vector<ExecutionId> m_wake; // other executions that may now send
    // When forwardTimer() is to be called next; unset for no change after the answer.
    std::optional<MonotonicTime> m_wakeAt;
};

/** Starts the execution: one call for each part. Precondition: the request names its route. */
ForwardEffects startForward(ForwardState& state, ForwardExecution& execution, MonotonicTime now);

/** Takes the reply to a call; also after the answer, since the endpoint's standing depends on it. */
ForwardEffects takeForwardReply(
    ForwardState& state, ForwardExecution& execution, AttemptNumber attempt, EndpointReply reply, MonotonicTime now);

/** Sends what is due and gives the answer at the goal or the deadline. */
ForwardEffects forwardTimer(ForwardState& state, ForwardExecution& execution, MonotonicTime now);

/**
 * Goes on with an execution of a merging VM whose last answer said that more follows: the next answer holds the shards
 * that no answer has held, and is given when all have ended or the time has passed.
 */
ForwardEffects resumeForward(
    ForwardState& state, ForwardExecution& execution, Milliseconds goalLeft, MonotonicTime now);

/** Ends the execution without an answer; the owner cancels its calls. */
void abandonForward(ForwardState& state, ForwardExecution& execution);

} // namespace flamingo
