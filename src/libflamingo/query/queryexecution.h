#pragma once

#include "base/ids.h"
#include "base/time.h"
#include "query/hitmerge.h"
#include "query/queryeffect.h"
#include "query/queryevent.h"
#include "query/queryrequest.h"
#include "query/querysettings.h"
#include "routing/attempt.h"
#include "routing/endpointchoice.h"
#include "routing/fingerprintmemory.h"
#include "routing/routingstate.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace flamingo {

/** State of the event loop that stepQuery() uses. The references must outlive the call. */
struct QueryContext {
    RoutingState& m_routing;
    FingerprintMemory& m_fingerprints;
    RandomEngine& m_random;
    const QuerySettings& m_settings;
    bool m_leaseValid = true; // whether this VM holds a valid lease; without one no call is sent
};

/** Progress of one shard of the snapshot that the query reads. */
struct ShardProgress {
    bool m_answered = false;
    bool m_gaveUp = false; // no further call is sent
    bool m_waiting = false; // for a free slot at a replica
    bool m_hedgeWaiting = false; // the waiting call is a hedge
    bool m_budgetEarned = false; // the first attempt has earned its fraction of an extra-load token
    std::uint32_t m_freeSends = 1; // remaining calls that need no token: the first, and replacements of unsent calls
    std::uint32_t m_unreplacedRefusals = 0; // calls that the endpoint refused without running them, not yet replaced
    std::uint32_t m_openCalls = 0; // sent and not yet ended
    std::uint32_t m_sentCalls = 0; // in total
    std::uint32_t m_lostConnections = 0;
    MonotonicTime m_notBefore {}; // end of the backoff after all replicas failed
    MonotonicTime m_waitingSince {};
    std::optional<MonotonicTime> m_checkAt; // time of the earliest scheduled check of kind Shard
    std::vector<EndpointIndex> m_tried; // replicas that failed or have an open call; a new call excludes them
};

/** One call of the execution. */
struct QueryAttempt {
    Attempt m_attempt;
    ShardIndex m_shard;
    bool m_hedge = false;
    std::optional<MonotonicTime> m_checkAt; // time of the earliest scheduled check of kind Hedge
};

/**
 * State of the canary stage, in which a request that has not succeeded before is sent to few endpoints.
 *
 * It limits the number of endpoints that a crashing request can harm, and survives a restart on another snapshot.
 */
struct CanaryStage {
    std::vector<EndpointId> m_rankedEndpoints; // endpoints of the snapshot, in the order in which they are asked
    std::uint32_t m_maxEndpoints = 2; // how many of the first ranked endpoints may run the request
    bool m_oneAtATime = false; // a second attempt waits for the end of the first
    std::vector<EndpointId> m_exposed; // distinct endpoints that may have run the request and been harmed by it
    std::vector<EndpointId> m_crashed; // endpoints that closed the connection during a call
    std::vector<EndpointId> m_asked; // asked on this snapshot, or crashed; not to be asked again
    std::uint32_t m_reportedDeaths = 0; // endpoint deaths reported with ReportDeath
    std::uint32_t m_appliedReports = 0; // death reports that the control VMs have applied
    MonotonicTime m_notBefore {}; // no further attempt before this time, unless all reports are applied earlier
    std::optional<MonotonicTime> m_checkAt; // time of the earliest scheduled check of kind Canary
};

enum class QueryPhase {
    Idle,
    Canary, // few endpoints are asked until one has answered
    AwaitingDecision, // no endpoint may be asked until the control VMs decide on a quarantine
    FanOut, // all shards are asked
    Finished,
};

/** A check scheduled for a later time. It has no effect if it no longer applies by then. */
struct ScheduledCheck {
    static constexpr std::uint32_t allWaitingShards = ~0U;

    enum class Kind {
        Hedge, // hedges the call of an attempt
        Shard, // sends the next call of a shard
        Canary, // sends the next call of the canary stage
        Snapshot, // restarts the query if its snapshot was removed and open calls have not answered
    };
    MonotonicTime m_at;
    Kind m_kind = Kind::Shard;
    std::uint32_t m_subject = 0; // attempt number, shard index or allWaitingShards, depending on the kind
    std::uint32_t m_snapshotRun = 0; // value of QueryExecution::m_snapshotRun when the check was scheduled
};

/** State of one query from its admission to its answer. A copyable value that only stepQuery() changes. */
struct QueryExecution {
    ExecutionId m_id; // unique at this daemon
    QueryRequest m_request;

    QueryPhase m_phase = QueryPhase::Idle;
    Fingerprint m_fingerprint;
    MonotonicTime m_startedAt {};
    MonotonicTime m_deadline {};
    double m_coverageFloor = 0.0;
    AnswerPreference m_preference = AnswerPreference::Early;
    Milliseconds m_patience { 0 };

    // Snapshot of all counted answers.
    SnapshotVersion m_version;
    LayoutId m_layout;
    std::uint64_t m_layoutGeneration = 0;
    std::uint32_t m_snapshotRun = 0; // number of restarts on another snapshot
    std::vector<std::uint32_t> m_weights; // by shard index
    std::uint64_t m_totalWeight = 0;
    std::uint64_t m_answeredWeight = 0;
    std::uint32_t m_shardsAnswered = 0;
    std::uint32_t m_shardsOpen = 0; // neither answered nor given up
    bool m_snapshotGone = false; // removed from the published state during the query
    std::vector<ShardProgress> m_shards;
    std::vector<QueryAttempt> m_attempts; // attempt number n is at n - 1
    HitMerger m_merger;
    std::optional<MonotonicTime> m_floorReachedAt;

    CanaryStage m_canary;
    std::uint32_t m_reportedDeaths = 0; // with ReportDeath; limits the reports during the fan-out
    std::vector<ScheduledCheck> m_scheduledChecks; // heap with the earliest check first
    std::optional<MonotonicTime> m_timerAt; // time of the last SetTimer that has not expired

    std::uint32_t m_provenNotRun = 0; // ended attempts that the endpoint provably did not run
    Milliseconds m_shedRetryAfter { 0 }; // longest retry delay that a refusing endpoint asked for
    std::uint32_t m_endpointRequests = 0;
    Microseconds m_longestWait { 0 }; // of a shard for a free replica; admission control takes it as a sign of overload
};

/** Returns an execution in phase Idle, which expects QueryStarted. */
QueryExecution makeQueryExecution(ExecutionId id, QueryRequest request);

/**
 * Processes one event and returns the effects to carry out, in order.
 *
 * Updates the routing state and the fingerprint memory of the context. `now` must not be earlier than in the
 * previous call. After FinishQuery, replies are counted as dropped and all other events are ignored.
 */
QueryEffects stepQuery(QueryExecution& execution, QueryEvent event, QueryContext& context, MonotonicTime now);

} // namespace flamingo
