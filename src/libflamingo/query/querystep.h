#pragma once

#include "query/queryexecution.h"

namespace flamingo::detail {

/** Context of one call of stepQuery(), with the effects it has produced so far. */
struct QueryStep {
    QueryExecution& m_execution;
    QueryContext& m_context;
    MonotonicTime m_now;
    QueryEffects m_effects;

    /** Returns the routes of the service, or null if it does not exist. */
    const ServiceRoutes* service() const;
    /** Returns the routes of the query's snapshot, or null if it has been removed or replaced. */
    const SnapshotRoutes* snapshot() const;
    ServiceStats& stats() const;
    ShardProgress& shard(ShardIndex index) const { return m_execution.m_shards[index.value()]; }
    /** Returns how long a call runs before it is hedged. */
    Microseconds hedgeAfter() const;
    /** Returns whether an endpoint may have started to run the request. */
    bool mayHaveRun() const { return m_execution.m_attempts.size() > m_execution.m_provenNotRun; }
};

/** Reason for sending a call. */
enum class SendPurpose {
    First,
    Retry,
    Hedge,
    Canary,
};

// queryexecution.cpp
void finishQuery(QueryStep& step, ResultCode code, std::string text);
/** Finishes the query at its deadline, when no shard is open, or when its patience beyond the floor has ended. */
void finishIfDone(QueryStep& step);
void scheduleCheck(QueryStep& step, MonotonicTime at, ScheduledCheck::Kind kind, std::uint32_t subject);
/** Schedules a check of the shard, unless one is scheduled for the same time or earlier. */
void scheduleShardCheck(QueryStep& step, ShardIndex shard, MonotonicTime at);
/** Schedules a check whether to hedge the attempt, unless one is scheduled for the same time or earlier. */
void scheduleHedgeCheck(QueryStep& step, AttemptNumber attempt, MonotonicTime at);
/** Schedules a check of the canary stage, unless one is scheduled for the same time or earlier. */
void scheduleCanaryCheck(QueryStep& step, MonotonicTime at);

// querysend.cpp
/**
 * Sends a call for the shard and returns true if the lease and the extra-load budget allow it.
 *
 * Precondition: the endpoint can take a call.
 */
bool sendCall(QueryStep& step, ShardIndex shard, EndpointIndex endpoint, SendPurpose purpose, bool suspect);
/** Sends the shard's next call, makes the shard wait for a replica or a token, or gives it up. */
void advanceShard(QueryStep& step, ShardIndex shard);
/** Sends the call or hedge that waits for a free replica of the shard, if there is one now. */
void advanceWaitingShard(QueryStep& step, ShardIndex shard);
void startFanOut(QueryStep& step);
void hedgeAttempt(QueryStep& step, AttemptNumber attempt);
void stopWaitingForReplica(QueryStep& step, ShardIndex shard);
void stopAllWaiting(QueryStep& step);
void giveUpShard(QueryStep& step, ShardIndex shard);
void closeAttempt(QueryStep& step, QueryAttempt& attempt, CallVerdict verdict, const EndpointReply* reply);
void cancelAttempt(QueryStep& step, AttemptNumber attempt, CallVerdict verdict);
/** Cancels all open calls. A call that ran for at least the hedge delay counts against its endpoint. */
void cancelAllCalls(QueryStep& step);

// queryreply.cpp
void handleReply(QueryStep& step, CallReplied event);
/** Reports a lost connection as a suspected endpoint crash, unless the fingerprint is known to be good. */
void reportDeath(QueryStep& step, const Attempt& attempt);

// querycanary.cpp
void startCanary(QueryStep& step);
void advanceCanary(QueryStep& step);
void canarySucceeded(QueryStep& step);
void canaryFailed(QueryStep& step, const Attempt& attempt, const EndpointReply& reply);
void handleQuarantineDecision(QueryStep& step, const QuarantineDecided& event);

// querystart.cpp
void startQuery(QueryStep& step);
/** Sets the snapshot of the query and starts the canary stage or the fan-out. */
void beginOnSnapshot(QueryStep& step, const SnapshotId& snapshot);
/** Applies a new published state: finishes, restarts, or continues with the new replicas. */
void handleStateChange(QueryStep& step);
/** Restarts on another snapshot if the present one has been removed and open calls have not answered. */
void recheckSnapshot(QueryStep& step);

} // namespace flamingo::detail
