#pragma once

#include "query/queryexecution.h"

namespace flamingo::detail {

/** One call of stepQuery(). */
struct QueryStep {
    QueryExecution& m_execution;
    QueryContext& m_context;
    MonotonicTime m_now;
    QueryEffects m_effects;

    const ServiceRoutes* service() const;
    const SnapshotRoutes* snapshot() const;
    ServiceStats& stats() const;
    ShardProgress& shard(ShardIndex index) const { return m_execution.m_shards[index.value()]; }
    Microseconds hedgeAfter() const;
    /** Returns whether some endpoint may have started the request. */
    bool mayHaveRun() const { return m_execution.m_attempts.size() > m_execution.m_provenNotRun; }
};

/** Why a call is sent. */
enum class SendPurpose {
    First,
    Retry,
    Hedge,
    Canary,
};

// queryexecution.cpp
void finishQuery(QueryStep& step, ResultCode code, std::string text);
void finishIfDone(QueryStep& step);
void pushDue(QueryStep& step, MonotonicTime at, QueryDue::Kind kind, std::uint32_t subject);
/** Has the shard looked at again at the time, or before. */
void checkShardAt(QueryStep& step, ShardIndex shard, MonotonicTime at);
/** Has a hedge of the attempt looked at at the time, or before. */
void checkHedgeAt(QueryStep& step, AttemptNumber attempt, MonotonicTime at);
void checkCanaryAt(QueryStep& step, MonotonicTime at);

// querysend.cpp
/** Sends a call for the shard if the lease and the budget allow it. The endpoint must be able to take it. */
bool sendCall(QueryStep& step, ShardIndex shard, EndpointIndex endpoint, SendPurpose purpose, bool suspect);
/** Sends the shard's next call, or makes the shard wait for a replica or a token. */
void advanceShard(QueryStep& step, ShardIndex shard);
/** Sends the call or hedge that waits for a replica of the shard, if one is free now. */
void advanceWaitingShard(QueryStep& step, ShardIndex shard);
void startFanOut(QueryStep& step);
void hedgeAttempt(QueryStep& step, AttemptNumber attempt);
void stopWaitingFor(QueryStep& step, ShardIndex shard);
void stopAllWaiting(QueryStep& step);
void giveUp(QueryStep& step, ShardIndex shard);
void closeAttempt(QueryStep& step, QueryAttempt& attempt, CallVerdict verdict, const EndpointReply* reply);
void cancelAttempt(QueryStep& step, AttemptNumber attempt, CallVerdict verdict);
/** Cancels all open calls. Those that ran beyond the hedge delay count against their endpoints. */
void cancelAll(QueryStep& step);

// queryreply.cpp
void takeReply(QueryStep& step, CallReplied event);
/** Reports the loss of a connection as a suspected crash, unless the fingerprint is known to be good. */
void reportDeath(QueryStep& step, const Attempt& attempt);

// querycanary.cpp
void startCanary(QueryStep& step);
void advanceCanary(QueryStep& step);
void canarySucceeded(QueryStep& step);
void canaryFailed(QueryStep& step, const Attempt& attempt, const EndpointReply& reply);
void takeDecision(QueryStep& step, const QuarantineDecided& event);

// querystart.cpp
void startQuery(QueryStep& step);
/** Fixes the snapshot and starts the canary stage or the fan-out. */
void beginOnSnapshot(QueryStep& step, const SnapshotId& snapshot);
void followState(QueryStep& step);
/** Restarts on another snapshot if calls to one that left service have not answered. */
void recheckSnapshot(QueryStep& step);

} // namespace flamingo::detail
