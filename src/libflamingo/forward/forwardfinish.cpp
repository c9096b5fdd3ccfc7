#include "forward/forwardfinish.h"

#include "forward/handover.h"
#include "forward/recordmerge.h"

#include <algorithm>
#include <cmath>

namespace flamingo {

namespace {

constexpr unsigned firstErrorStatus = 400;
constexpr unsigned firstServerErrorStatus = 500;
// The quarantine lasts longer than callers wait, so that a retry within their time is of no use.
constexpr Milliseconds quarantineRetryAfter { 60000 };

ForwardAnswer initialAnswer(const ForwardExecution& execution)
{
    ForwardAnswer answer;
    answer.m_id = execution.m_request.m_id;
    answer.m_shardCount = execution.m_shardCount;
    answer.m_missingShards = answer.m_shardCount - execution.m_answeredShards;
    answer.m_calls = static_cast<std::uint32_t>(execution.m_calls.size());
    // A VM that does not count attempts over all VMs would let the next one start from zero.
    answer.m_cutOff = execution.m_cutOff && execution.m_request.m_attemptsGranted;
    answer.m_leavingEndpoints = execution.m_leavingEndpoints;
    for (const ForwardPart& part : execution.m_parts)
        answer.m_usedAttempts = std::max(answer.m_usedAttempts, part.m_attempts.m_used);
    return answer;
}

ForwardAnswer passedAnswer(const ForwardExecution& execution, const EndpointReply& reply)
{
    ForwardAnswer answer = initialAnswer(execution);
    answer.m_kind = ForwardAnswer::Kind::Passed;
    answer.m_code = reply.m_status < firstServerErrorStatus ? ResultCode::Ok : ResultCode::EndpointFailed;
    answer.m_status = reply.m_status;
    answer.m_fields = reply.m_fields;
    answer.m_body = reply.m_body;
    answer.m_receipts.push_back(reply.m_receipt);
    return answer;
}

ForwardAnswer mergedAnswer(const ForwardExecution& execution)
{
    ForwardAnswer answer = initialAnswer(execution);
    answer.m_kind = ForwardAnswer::Kind::Merged;
    std::vector<std::string_view> bodies;
    for (const ForwardPart& part : execution.m_parts) {
        if (part.m_receipts.empty() || part.m_delivered)
            continue;
        bodies.push_back(part.m_records);
        answer.m_receipts.insert(answer.m_receipts.end(), part.m_receipts.begin(), part.m_receipts.end());
    }
    answer.m_body = mergeRecords(bodies, execution.m_request.m_route->m_topRecords);
    return answer;
}

ForwardAnswer errorAnswer(const ForwardExecution& execution, ResultCode code, std::string text)
{
    ForwardAnswer answer = initialAnswer(execution);
    answer.m_code = code;
    answer.m_text = std::move(text);
    return answer;
}

/** Returns a failure. Its code is that of a refusal only if no endpoint can have run the request. */
ForwardAnswer failureAnswer(const ForwardExecution& execution, const char* text)
{
    if (mayHaveRun(execution))
        return errorAnswer(execution, ResultCode::EndpointFailed, text);
    const bool refused = std::any_of(execution.m_parts.begin(), execution.m_parts.end(),
        [](const ForwardPart& part) { return part.m_refusals > 0; });
    if (refused)
        return errorAnswer(execution, ResultCode::EndpointRefused, text);
    const bool rateLimited = std::any_of(
        execution.m_parts.begin(), execution.m_parts.end(), [](const ForwardPart& part) { return part.m_rateLimited; });
    if (rateLimited)
        return errorAnswer(execution, ResultCode::EndpointRateLimited, "the endpoints take no higher rate of requests");
    for (const ForwardPart& part : execution.m_parts) {
        if (!part.m_roomAfter)
            continue;
        ForwardAnswer answer = errorAnswer(
            execution, ResultCode::Overloaded, "more requests wait for the endpoints than they can serve in time");
        answer.m_retryAfter = *part.m_roomAfter;
        return answer;
    }
    return errorAnswer(execution, ResultCode::NoEndpoint, text);
}

ForwardAnswer deadlineAnswer(const ForwardExecution& execution)
{
    ForwardAnswer answer = failureAnswer(execution, "no answer by the deadline");
    if (answer.m_code == ResultCode::EndpointFailed)
        answer.m_code = ResultCode::DeadlineExceeded;
    return answer;
}

std::optional<ForwardAnswer> decideFanOut(const ForwardExecution& execution, MonotonicTime now)
{
    const std::uint32_t shards = execution.m_shardCount;
    const bool partialAllowed = execution.m_request.m_partialAnswerAfter.has_value();
    const std::uint32_t minAnswered = partialAllowed ? 0 : minAnsweredShards(execution);
    if (shards - execution.m_lostShards < minAnswered)
        return failureAnswer(execution, "too few shards can be reached");
    const bool complete = execution.m_answeredShards + execution.m_lostShards == shards;
    if (execution.m_answeredShards >= minAnswered
        && (complete || now >= execution.m_goalAt || now >= execution.m_deadline)) {
        ForwardAnswer answer = mergedAnswer(execution);
        answer.m_moreFollows = partialAllowed && !complete && now < execution.m_deadline;
        return answer;
    }
    if (now >= execution.m_deadline)
        return deadlineAnswer(execution);
    return std::nullopt;
}

std::optional<ForwardAnswer> decideSingle(const ForwardExecution& execution, MonotonicTime now)
{
    const ForwardPart& part = execution.m_parts.front();
    if (part.m_state == ForwardPart::State::Answered)
        return passedAnswer(execution, *part.m_reply);
    if (part.m_state == ForwardPart::State::Lost) {
        // Passes an endpoint's error response through, unless it only says that the request did not run.
        if (part.m_reply && !part.m_reply->m_notRun && !part.m_reply->m_wrongEndpoint
            && part.m_reply->m_status >= firstErrorStatus)
            return passedAnswer(execution, *part.m_reply);
        return failureAnswer(execution, "no endpoint answered");
    }
    if (now >= execution.m_deadline)
        return deadlineAnswer(execution);
    return std::nullopt;
}

/** Decides on a request without shards that another VM serves, perhaps after calls that may still be answered. */
std::optional<ForwardAnswer> decideRelayed(
    const ForwardExecution& execution, const ForwardPart& relay, MonotonicTime now)
{
    if (execution.m_relayedAnswer) {
        ForwardAnswer answer = *execution.m_relayedAnswer;
        answer.m_id = execution.m_request.m_id;
        answer.m_calls = static_cast<std::uint32_t>(execution.m_calls.size());
        return answer;
    }
    const ForwardPart& own = execution.m_parts.front();
    if (!own.m_relay && own.m_state == ForwardPart::State::Answered)
        return passedAnswer(execution, *own.m_reply);
    if (relay.m_state == ForwardPart::State::Lost)
        return failureAnswer(execution, "this VM cannot reach the endpoints, and no other VM served the request");
    if (now >= execution.m_deadline)
        return deadlineAnswer(execution);
    return std::nullopt;
}

} // namespace

ForwardAnswer quarantineAnswer(const ForwardExecution& execution)
{
    ForwardAnswer answer
        = errorAnswer(execution, ResultCode::Quarantined, "the request crashed endpoints and is quarantined");
    answer.m_retryAfter = quarantineRetryAfter;
    return answer;
}

std::uint32_t minAnsweredShards(const ForwardExecution& execution)
{
    const double exact = execution.m_request.m_route->m_minAnsweredShare * double(execution.m_shardCount);
    // Prevents a product such as 0.89 * 100 from being rounded up to 90 because of floating-point errors.
    constexpr double tolerance = 1e-9;
    return std::max(1U, static_cast<std::uint32_t>(std::ceil(exact - tolerance)));
}

CallVerdict mergeVerdict(const EndpointReply& reply, bool wellFormed)
{
    if (reply.m_outcome != CallOutcome::Answered)
        return verdictOf(reply);
    if (reply.m_notRun)
        return CallVerdict::Shed;
    return wellFormed ? CallVerdict::Answered : CallVerdict::Failed;
}

CallVerdict forwardVerdict(const ForwardRequest& request, const Route& route, const EndpointReply& reply)
{
    if (reply.m_outcome != CallOutcome::Answered)
        return verdictOf(reply);
    if (reply.m_wrongEndpoint)
        return CallVerdict::NotReached;
    if (reply.m_notRun)
        return CallVerdict::Shed;
    const bool belongsToOtherRequest = !reply.m_request.value().empty() && reply.m_request != request.m_id;
    if (belongsToOtherRequest || reply.m_status >= firstServerErrorStatus)
        return CallVerdict::Failed;
    if (reply.m_status < firstErrorStatus && reply.m_receipt.empty())
        return CallVerdict::Failed;
    // Only successful replies of shards are merged.
    if (!route.m_shards.empty() && reply.m_status >= firstErrorStatus)
        return CallVerdict::Failed;
    return CallVerdict::Answered;
}

std::optional<ForwardAnswer> decideAnswer(const ForwardExecution& execution, MonotonicTime now)
{
    if (execution.m_cutOff)
        return failureAnswer(execution, "this VM has lost its links to the endpoints");
    if (!execution.m_request.m_route->m_shards.empty())
        return decideFanOut(execution, now);
    const auto relay = std::find_if(
        execution.m_parts.begin(), execution.m_parts.end(), [](const ForwardPart& part) { return part.m_relay; });
    if (relay != execution.m_parts.end())
        return decideRelayed(execution, *relay, now);
    return decideSingle(execution, now);
}

} // namespace flamingo
