#pragma once

#include "control/command.h"
#include "forward/crashwatch.h"
#include "forward/forwardexecution.h"
#include "forward/forwardstate.h"

#include <cstddef>
#include <vector>

namespace flamingo {

/**
 * Requests that crash the endpoints that run them.
 *
 * Callers send such a request again, under another id and through any VM. A request under which an endpoint has ended
 * and that no endpoint has survived is reported to the control VMs, which quarantine it on all VMs after the second
 * report. Whether an endpoint has ended is decided by the watch, see crashwatch.h. A request that was merely in flight
 * when endpoints crashed is reported once for each time that it fails. Its quarantine is refuted by any VM that has
 * seen endpoints survive it since the last refutation, and the crashes are counted from zero again.
 *
 * The functions are not thread-safe: they use the state of one event loop.
 */

/**
 * Returns the fingerprint of the request: equal for the same method, host, target and body.
 *
 * On a merging VM it also depends on the group of shards, since other endpoints than those of the group say nothing
 * about it.
 */
Fingerprint forwardFingerprint(const ForwardRequest& request);

/**
 * Returns whether the request is refused, since it is quarantined or its quarantine is about to be decided.
 *
 * A quarantine that successes at this VM refute is added to ForwardState::m_refutedQuarantines instead.
 */
bool isQuarantined(ForwardState& state, Fingerprint fingerprint, MonotonicTime now);

/**
 * Lets a quarantined request run once, as a trial, and returns whether it may.
 *
 * Frees requests that were in flight when endpoints ended under others, and that no VM has seen succeed before. A
 * single VM tries them, soon after the quarantine and then at long intervals, so that a request that does crash
 * endpoints costs few more.
 */
bool beginTrial(ForwardState& state, ForwardExecution& execution, MonotonicTime now);

/** Allows another trial soon if the execution is one, since it has reached no endpoint. */
void repeatTrial(ForwardState& state, const ForwardExecution& execution, MonotonicTime now);

/** Looks for quarantines that are new or lifted since the state before. */
void updateQuarantines(ForwardState& state, const PublishedState* before, MonotonicTime now);

/** Returns whether an endpoint has ended while it ran the request. It is then sent to one endpoint at a time. */
bool isSuspect(const ForwardState& state, Fingerprint fingerprint);

/**
 * Records a call that its endpoint did not answer, perhaps because it has ended.
 *
 * A call without an answer in time counts only if the endpoint has answered no other one in the second half of the
 * wait. Endpoints that said that they leave are expected to end, so that calls to them do not count.
 */
void recordLostCall(const ForwardState& state, ForwardExecution& execution, const ForwardCall& call,
    const ServiceName& service, CallOutcome outcome, MonotonicTime now);

/**
 * Returns whether the reply shows that the endpoint has run the request and goes on.
 *
 * An endpoint that fails a request may have turned it away before it ran, and an answer that does not name the request
 * may belong to another one.
 */
bool provesSurvival(const ForwardRequest& request, const EndpointReply& reply);

/** Records that an endpoint of the part survived the request. It counts as a success once it has survived all parts. */
void recordSurvival(ForwardState& state, ForwardExecution& execution, std::size_t part, MonotonicTime now);

/**
 * Watches the endpoints of the lost calls of an execution that has ended, unless another endpoint of the same part
 * has survived its request.
 *
 * They are few: most requests that lose an endpoint are answered by another one.
 */
void watchLostCalls(ForwardState& state, ForwardExecution& execution, MonotonicTime now);

// Reports wait for the control VMs for so long.
constexpr Milliseconds crashReportTimeout { 60000 };

/** A report that an endpoint ended while it ran a request. */
struct CrashReport {
    ReportDeath m_death;
    Fingerprint m_fingerprint;
    RequestId m_request;
};

/** Returns the reports of an endpoint that has ended: one for each request that it ended under. */
std::vector<CrashReport> reportCrashes(ForwardState& state, const EndpointVerdict& verdict, MonotonicTime now);

/** Records that the control VMs have applied the report. Returns reports that must follow it. */
std::vector<CrashReport> handleReportApplied(
    ForwardState& state, const CrashReport& report, bool quarantined, MonotonicTime now);

} // namespace flamingo
