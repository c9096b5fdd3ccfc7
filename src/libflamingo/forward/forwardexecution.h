#pragma once

#include "endpoint/endpointcall.h"
#include "forward/attemptallowance.h"
#include "forward/crashsuspicion.h"
#include "forward/forwardanswer.h"
#include "forward/forwardrequest.h"
#include "forward/forwardstate.h"
#include "forward/lostcall.h"
#include "routing/attempt.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

namespace flamingo {

/**
 * One part of a forwarded request: a call to one service, to a merging VM for a group of shards, or to a VM that serves
 * the whole request.
 *
 * A part may need several calls because of hedges and retries.
 */
struct ForwardPart {
    enum class State {
        Open,
        Answered,
        HandedOver, // another VM calls the shard
        Lost, // failed, no further attempt will be made
    };

    ServiceName m_service; // service of the endpoints, or name of the group (see mergeGroupName())
    std::vector<ServiceName> m_group; // shards requested from another VM; empty for a single service
    bool m_relay = false; // another VM serves what this VM cannot, since it has lost its links to the endpoints
    bool m_otherVm = false; // the group is requested from a VM that does not own it, since no owner takes the call
    State m_state = State::Open;
    std::uint32_t m_openCalls = 0;
    AttemptAllowance m_attempts; // for each shard of the part
    std::uint32_t m_possibleRuns = 0; // calls that ran or may have run
    std::uint32_t m_refusals = 0; // calls that an endpoint refused without running them
    std::uint32_t m_unsentCalls = 0; // calls that never left this VM
    std::vector<EndpointIndex> m_triedEndpoints; // endpoints that were called; the next attempt prefers others
    MonotonicTime m_hedgeAt = MonotonicTime::max(); // when the next hedge is due
    MonotonicTime m_remoteHedgeAt {}; // before that, a hedge does not go to another data centre
    MonotonicTime m_retryAt = MonotonicTime::max(); // when to try again, while no call is open
    bool m_rateLimited = false; // given up, since endpoints had been sent the rate that they named
    std::optional<Milliseconds> m_roomAfter; // given up, since too many requests wait; when to come back
    bool m_waiting = false; // queued in the routing state until an endpoint has capacity
    std::optional<EndpointReply> m_reply; // the successful reply, or the last error reply of an endpoint
    std::vector<std::string> m_receipts; // one for each answered shard
    std::string m_records; // records of the answered shards, unsorted
    std::optional<EndpointIndex> m_pendingMerger; // merging VM that still queries the remaining shards
    bool m_survived = false; // an endpoint answered after running the request
    bool m_delivered = false; // on a merging VM: already contained in an earlier answer

    bool callsVm() const { return m_relay || !m_group.empty(); }

    std::uint32_t shardCount() const { return m_group.empty() ? 1U : static_cast<std::uint32_t>(m_group.size()); }
};

/** One call of an execution to an endpoint or a merging VM. */
struct ForwardCall {
    std::size_t m_part = 0; // index in ForwardExecution::m_parts
    Attempt m_attempt;
    std::string m_address; // IP address and port of the endpoint, which may leave the routing table meanwhile
    std::uint16_t m_port = 0;
    std::uint32_t m_takenAttempts = 0; // one, or those granted to the VM that is called
    bool m_hedge = false;
    std::optional<MonotonicTime> m_dueAt; // when a merging VM is to answer with what it has
};

/** State of a forwarded request while it runs. A plain value, used on one event loop. */
struct ForwardExecution {
    ExecutionId m_id;
    ForwardRequest m_request;
    MonotonicTime m_deadline; // for the final answer
    MonotonicTime m_goalAt = MonotonicTime::max(); // from then on, an answer with the minimum answered share is sent
    std::vector<ForwardPart> m_parts;
    std::vector<ForwardCall> m_calls; // indexed by attempt number
    std::uint32_t m_shardCount = 0;
    std::uint32_t m_answeredShards = 0;
    std::uint32_t m_lostShards = 0;
    // When to let another VM take over, since this VM has lost its links to the endpoints. No endpoint is called until
    // then. Calls without a connection are given up meanwhile, which frees their attempts.
    std::optional<MonotonicTime> m_handOverAt;
    bool m_unsentCallsCancelled = false;
    bool m_cutOff = false; // a relayed request that this VM returns, since it has lost its links to the endpoints
    std::optional<ForwardAnswer> m_relayedAnswer; // answer of the VM that served a request without shards
    // Set on a merging VM after an incomplete answer: the execution can be resumed until this time.
    std::optional<MonotonicTime> m_pausedUntil;
    std::vector<EndpointLifetime> m_leavingEndpoints; // that said so in answers to calls of this execution
    // Whether the request crashes endpoints, see crashsuspects.h.
    Fingerprint m_fingerprint;
    bool m_trial = false; // quarantined, and let through once
    std::vector<LostCall> m_lostCalls; // not watched yet
    std::shared_ptr<CrashSuspicion> m_suspicion; // set once lost calls are watched
    bool m_finished = false;
};

/** Actions that the owner of an execution must carry out, in the order of the members. */
struct ForwardEffects {
    struct Send {
        AttemptNumber m_attempt;
        EndpointCall m_call;
        bool m_hedge = false;
        bool m_toVm = false; // goes to another VM, not to an endpoint
    };

    std::vector<AttemptNumber> m_cancelUnsent; // calls to give up if nothing of them has been sent
    std::vector<Send> m_sends;
    // At most one answer per execution. After an answer that sets m_moreFollows, each resumeForward() gives one more.
    std::optional<ForwardAnswer> m_answer;
    std::vector<ExecutionId> m_unblocked; // other executions that can send now, since an endpoint has capacity again
    // When handleForwardTimer() must be called next; unset once the execution has finished.
    std::optional<MonotonicTime> m_nextTimerAt;
};

/** Starts the execution with one call for each part. Precondition: the request has its route. */
ForwardEffects startForward(ForwardState& state, ForwardExecution& execution, MonotonicTime now);

/** Handles the reply to a call. Also needed after the answer, since replies update the endpoint's statistics. */
ForwardEffects handleForwardReply(
    ForwardState& state, ForwardExecution& execution, AttemptNumber attempt, EndpointReply reply, MonotonicTime now);

/** Sends the hedges and retries that are due, and gives the answer at the goal or the deadline. */
ForwardEffects handleForwardTimer(ForwardState& state, ForwardExecution& execution, MonotonicTime now);

/**
 * Resumes an execution on a merging VM whose last answer set m_moreFollows.
 *
 * The next answer contains only shards that no earlier answer contained. It is given when all shards have ended or
 * when goalLeft has passed.
 */
ForwardEffects resumeForward(
    ForwardState& state, ForwardExecution& execution, Milliseconds goalLeft, MonotonicTime now);

/** Ends the execution without an answer. The owner must cancel its open calls. */
void abandonForward(ForwardState& state, ForwardExecution& execution);

} // namespace flamingo
