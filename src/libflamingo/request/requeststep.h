#pragma once

#include "request/requestexecution.h"

#include <string>

namespace flamingo::detail {

/** Context of one call of stepRequest(), with the effects it has produced so far. */
struct RequestStep {
    RequestExecution& m_execution;
    RequestContext& m_context;
    MonotonicTime m_now;
    RequestEffects m_effects;

    /** Returns the routes of the service, or null if it does not exist. */
    const ServiceRoutes* service() const;
    ServiceStats& stats() const;
    /** Returns how long a call runs before it is hedged. */
    Microseconds hedgeAfter() const;
    bool isQuarantined() const;
    /** Returns whether an endpoint may have started to run the request. */
    bool mayHaveRun() const { return m_execution.m_attempts.size() > m_execution.m_provenNotRun; }
};

// requestexecution.cpp
void finishRequest(RequestStep& step, ResultCode code, std::string text);
/**
 * Ends the request with the code and settles its claim as not run. If an endpoint may have started the request, which
 * is possible only for an idempotent one, ends it with EndpointFailed instead.
 */
void refuseRequest(RequestStep& step, ResultCode code, const std::string& text);

// requestclaim.cpp
void openClaim(RequestStep& step);
void handleClaimDecision(RequestStep& step, const ClaimDecided& event);
void settleClaim(RequestStep& step, ClaimOutcome outcome, const std::string& answer);

// requestsend.cpp
/** Sends the next attempt if one is due and an endpoint can take it; ends a request that cannot be sent. */
void advanceRequest(RequestStep& step);
void handleReply(RequestStep& step, CallReplied event);
void cancelAllCalls(RequestStep& step);
/** Ends the request at its deadline. */
void expireRequest(RequestStep& step);

} // namespace flamingo::detail
