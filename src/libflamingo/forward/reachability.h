#pragma once

#include "base/time.h"
#include "routing/endpointindex.h"

#include <cstddef>
#include <map>
#include <optional>

namespace flamingo {

/**
 * What this VM knows about its links to the endpoints as a whole. Not thread-safe: belongs to one event loop.
 *
 * A VM whose links to all endpoints are lost can still receive requests and reach other VMs. Its calls hang or fail.
 * Single endpoints that do so are ejected; this state tells that it is the VM's own links that are lost.
 */
struct EndpointReachability {
    /** A call without an answer, sent after the newest answer of any endpoint. */
    struct Unanswered {
        MonotonicTime m_overdueAt; // from then on, an answer is later than usual
        bool m_failed = false; // ended without an answer
    };

    std::map<EndpointIndex, Unanswered> m_unanswered; // the first call of each endpoint; at most maxUnanswered
    // Test connections, opened while all calls are unanswered.
    std::optional<MonotonicTime> m_testStartedAt;
    std::uint64_t m_connectionsBeforeTest = 0; // opened until then
    bool m_cutOff = false; // no endpoint can be reached
    bool m_answeredSinceCutOff = false;
    MonotonicTime m_cutOffSince {};
    std::uint64_t m_cutOffCount = 0; // times that all links were lost, since the start

    static constexpr std::size_t maxUnanswered = 16;
};

/** Records that a call was sent to the endpoint. Most calls like it are answered within usualTime. */
void recordCallSent(
    EndpointReachability& reachability, EndpointIndex endpoint, Microseconds usualTime, MonotonicTime now);

/** Records that an endpoint answered, with any status: its links work. */
void recordAnswer(EndpointReachability& reachability);

/** Records that a call ended without an answer. */
void recordNoAnswer(EndpointReachability& reachability, EndpointIndex endpoint, MonotonicTime now);

/** What the owner of the state does next. */
enum class ReachabilityAction {
    None,
    TestConnections, // opens a few connections, without sending anything, to see whether any endpoint can be reached
    CutOff, // the VM is now known to be cut off from all endpoints
    Regained, // an endpoint can be reached again
};

/**
 * Decides whether the VM is cut off. Called at short intervals.
 *
 * connectionsOpened is the number of connections to endpoints that were established since the start of the process.
 * Answers the cut of a VM, or of a whole data centre, from all endpoints, by connections that hang, are reset or are
 * refused. An endpoint that pauses or crashes is told from a cut by the test connections to others.
 */
ReachabilityAction updateReachability(
    EndpointReachability& reachability, std::uint64_t connectionsOpened, MonotonicTime now);

} // namespace flamingo
