#pragma once

#include "endpoint/endpointcall.h"
#include "endpoint/porttest.h"
#include "forward/crashsuspicion.h"
#include "forward/lostcall.h"
#include "routing/attempt.h"
#include "routing/routingtable.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace flamingo {

/** What became of an endpoint that lost calls. */
enum class EndpointFate {
    Undecided, // nothing was learned in time
    Ended,
    Running,
};

/** An endpoint that lost calls and that may have ended. */
struct WatchedEndpoint {
    /** A request that lost a call to the endpoint. */
    struct Suspicion {
        std::shared_ptr<CrashSuspicion> m_request;
        MonotonicTime m_lostAt;
    };

    LostEndpoint m_endpoint;
    MonotonicTime m_lostAt; // when the last call was lost
    std::vector<Suspicion> m_suspicions;
    // Tests of its port, which follow a lost connection.
    std::size_t m_tests = 0; // begun since the last loss
    bool m_testing = false;
    MonotonicTime m_nextTestAt = MonotonicTime::max();
    std::optional<MonotonicTime> m_silentSince; // first of the tests without an answer, if the last one had none
    // When calls sent some time after the loss were first answered. Its successor may have done so, if it has the same
    // id and is not registered yet.
    std::optional<MonotonicTime> m_answersSince;
    std::uint64_t m_order = 0; // in which endpoints are tested
};

/** A decision on a watched endpoint, with what it rests on. */
struct EndpointVerdict {
    WatchedEndpoint m_endpoint;
    EndpointFate m_fate = EndpointFate::Undecided;
    const char* m_evidence = ""; // for the log
};

/**
 * Endpoints that lost calls, until it is known whether they have ended.
 *
 * A closed connection alone proves nothing, and neither does an open port: a process that ends may close its
 * connections before its port, and the next one may listen already. So an endpoint has ended if its port refuses
 * connections, if its address has become silent, if another endpoint answers in its place, or once its successor is
 * registered. It is running if it answers calls that were sent some time after the loss and no successor registers
 * soon.
 *
 * The functions are not thread-safe: they use the state of one event loop.
 */
struct CrashWatch {
    static constexpr std::size_t maxEndpoints = 256;
    static constexpr std::size_t maxSuspicionsPerEndpoint = 32;
    // For so long after a loss, the end of the endpoint is put down to the requests that were lost.
    static constexpr Milliseconds watchPeriod { 10000 };

    std::map<EndpointLifetime, WatchedEndpoint> m_endpoints;
    std::vector<EndpointVerdict> m_verdicts; // since the owner last looked
    std::uint64_t m_lastOrder = 0; // greatest WatchedEndpoint::m_order so far
};

/** Watches the endpoint of a call that the request lost. Has no effect beyond the limits of the watch. */
void watchEndpoint(CrashWatch& watch, const LostCall& call, const std::shared_ptr<CrashSuspicion>& request);

/** Returns the endpoints whose ports are to be tested now. Each result goes to recordPortTest(). */
std::vector<LostEndpoint> takeDuePortTests(CrashWatch& watch, MonotonicTime now);

/**
 * Records what the port of a watched endpoint does.
 *
 * It proves nothing while this VM can reach no endpoint at all.
 */
void recordPortTest(
    CrashWatch& watch, const EndpointLifetime& endpoint, PortState state, bool vmCutOff, MonotonicTime now);

/** Records the reply to a call, which may have been sent to a watched endpoint. */
void recordWatchedReply(CrashWatch& watch, const Attempt& attempt, const EndpointReply& reply, MonotonicTime now);

/** Looks for successors of the watched endpoints, and drops endpoints that were watched for long enough. */
void updateCrashWatch(CrashWatch& watch, const RoutingTable& table, MonotonicTime now);

/** Returns when takeDuePortTests() and updateCrashWatch() must be called next; nothing while no endpoint is watched. */
std::optional<MonotonicTime> nextWatchAt(const CrashWatch& watch);

} // namespace flamingo
