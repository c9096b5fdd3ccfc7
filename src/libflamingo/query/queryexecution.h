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

/** What a step may use of the event loop. All references outlive the call. */
struct QueryContext {
    RoutingState& m_routing;
    FingerprintMemory& m_fingerprints;
    RandomEngine& m_random;
    const QuerySettings& m_settings;
    // Whether this VM holds a valid lease now. Without one nothing is sent.
    bool m_leaseValid = true;
};

/** Progress of one shard of the fixed snapshot. */
struct ShardProgress {
    bool m_answered = false;
    bool m_gaveUp = false;
    bool m_waiting = false; // for a free replica
    bool m_hedgeWaits = false; // and that for a hedge
    bool m_firstEarned = false; // the first attempt has earned its fraction of a token
    std::uint32_t m_freeSends = 1; // sends that cost no token: the first one, and those that were never sent
    std::uint32_t m_refusals = 0; // calls refused as not run and not replaced yet
    std::uint32_t m_open = 0;
    std::uint32_t m_sent = 0;
    std::uint32_t m_lostConnections = 0;
    MonotonicTime m_notBefore {};
    MonotonicTime m_waitingSince {};
    std::optional<MonotonicTime> m_checkAt; // of the pending QueryDue::Kind::Shard
    std::vector<EndpointIndex> m_tried; // failed, or asked now
};

/** One call of the execution, by attempt number. */
struct QueryAttempt {
    Attempt m_attempt;
    ShardIndex m_shard;
    bool m_hedge = false;
    std::optional<MonotonicTime> m_checkAt; // of the pending QueryDue::Kind::Hedge
};

/** State of the canary stage; it outlives a restart on another snapshot. */
struct CanaryStage {
    std::vector<EndpointId> m_ranks; // endpoints of the snapshot in the order to ask them
    std::uint32_t m_allowance = 2; // distinct endpoints that may run the request
    bool m_alone = false; // one attempt at a time
    std::vector<EndpointId> m_used; // distinct endpoints that may have run it and been harmed
    std::vector<EndpointId> m_crashed; // those that closed the connection
    std::vector<EndpointId> m_asked; // on this snapshot, and not to be asked again
    std::uint32_t m_deaths = 0;
    std::uint32_t m_decisions = 0; // reports that the control VMs have applied
    MonotonicTime m_notBefore {}; // no further attempt before this time, or all decisions
    std::optional<MonotonicTime> m_checkAt; // of the pending QueryDue::Kind::Canary
};

enum class QueryPhase {
    Idle,
    Canary,
    AwaitingDecision, // on the quarantine
    FanOut,
    Finished,
};

/** Something to look at later. Entries that no longer apply are skipped. */
struct QueryDue {
    static constexpr std::uint32_t anyWaitingShard = ~0U;

    enum class Kind {
        Hedge, // of the attempt
        Shard, // that can be sent again
        Canary,
        Snapshot, // whose layout record is gone while calls were open
    };
    MonotonicTime m_at;
    Kind m_kind = Kind::Shard;
    std::uint32_t m_subject = 0; // attempt number or shard
    std::uint32_t m_run = 0; // snapshot run it belongs to
};

/** One query from its admission to its answer. A plain value; change it through stepQuery(). */
struct QueryExecution {
    ExecutionId m_id; // unique at this daemon
    QueryRequest m_request;

    QueryPhase m_phase = QueryPhase::Idle;
    Fingerprint m_fingerprint;
    MonotonicTime m_startedAt {};
    MonotonicTime m_deadline {};
    double m_floor = 0.0;
    AnswerPreference m_preference = AnswerPreference::Early;
    Milliseconds m_patience { 0 };

    // The snapshot all counted answers come from.
    SnapshotVersion m_version;
    LayoutId m_layout;
    std::uint64_t m_layoutGeneration = 0;
    std::uint32_t m_run = 0; // grows when the query restarts on another snapshot
    std::vector<std::uint32_t> m_weights;
    std::uint64_t m_totalWeight = 0;
    std::uint64_t m_answeredWeight = 0;
    std::uint32_t m_shardsAnswered = 0;
    std::uint32_t m_shardsOpen = 0; // neither answered nor given up
    bool m_snapshotGone = false;
    std::vector<ShardProgress> m_shards;
    std::vector<QueryAttempt> m_attempts; // attempt number n is at n - 1
    HitMerger m_merger;
    std::optional<MonotonicTime> m_floorReachedAt;

    CanaryStage m_canary;
    std::uint32_t m_deathsReported = 0;
    std::vector<QueryDue> m_due; // heap, the earliest first
    std::optional<MonotonicTime> m_timerAt;

    std::uint32_t m_provenNotRun = 0; // attempts that no endpoint started
    Milliseconds m_shedRetryAfter { 0 };
    std::uint32_t m_endpointRequests = 0;
    Microseconds m_longestWait { 0 }; // for a free replica; a sign of overload for admission
};

/** Returns an execution that awaits QueryStarted. */
QueryExecution makeQueryExecution(ExecutionId id, QueryRequest request);

/**
 * Takes one event and returns what to do, in order.
 *
 * Updates the routing state and the fingerprint memory of the context. Time must not go back. Events
 * after FinishQuery are counted as dropped replies or ignored.
 */
QueryEffects stepQuery(QueryExecution& execution, QueryEvent event, QueryContext& context, MonotonicTime now);

} // namespace flamingo
