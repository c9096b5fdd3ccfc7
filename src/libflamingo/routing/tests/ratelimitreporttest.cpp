#include "routingfixture.h"

#include "routing/attempt.h"

#include <catch2/catch.hpp>

using namespace flamingo;
using namespace flamingo::testing;

namespace {

EndpointReply answer(std::optional<double> limit)
{
    EndpointReply reply;
    reply.m_outcome = CallOutcome::Answered;
    reply.m_status = 200;
    if (limit)
        reply.m_rateLimit = RequestsPerSecond(*limit);
    return reply;
}

} // namespace

TEST_CASE("the rate limit that an endpoint names is known until an answer names none", "[routing]")
{
    PublishedState state = stateWithShards({ 1 });
    addEndpoint(state, endpointRecord("near", 0, "a"));
    RoutingState routing = routingFor(state);
    const RateLimitReport& report = routing.m_rateLimitReport;
    const auto call = [&](const EndpointReply& reply) {
        Attempt attempt = beginAttempt(routing, indexOf(routing, "near"), false, at(0));
        endAttempt(routing, verses, attempt, verdictOf(reply), &reply, at(5));
    };

    call(answer(25.8));
    REQUIRE(statsFor(routing, "near").m_rateLimit.m_limit == RequestsPerSecond(25.8));
    REQUIRE(report.m_changes.size() == 1);
    CHECK_FALSE(report.m_changes[0].m_before);
    CHECK(report.m_calls == 0);

    SECTION("a small change is stored and not reported")
    {
        call(answer(26.0));
        CHECK(statsFor(routing, "near").m_rateLimit.m_limit == RequestsPerSecond(26.0));
        CHECK(report.m_changes.size() == 1);
        CHECK(report.m_calls == 1);
    }
    SECTION("an answer without a limit ends it")
    {
        call(answer(std::nullopt));
        CHECK_FALSE(statsFor(routing, "near").m_rateLimit.m_limit);
        CHECK(report.m_ended == 1);
    }
    SECTION("a call without an answer, another endpoint's answer and an unreadable limit leave it in force")
    {
        EndpointReply lost;
        lost.m_outcome = CallOutcome::ConnectionLost;
        EndpointReply fromOther = answer(std::nullopt);
        fromOther.m_wrongEndpoint = true;
        EndpointReply malformed = answer(std::nullopt);
        malformed.m_rateLimitMalformed = true;
        for (const EndpointReply& reply : { lost, fromOther, malformed }) {
            call(reply);
            CHECK(statsFor(routing, "near").m_rateLimit.m_limit == RequestsPerSecond(25.8));
        }
    }
    SECTION("the report is bounded while an endpoint changes its mind in each answer")
    {
        for (std::size_t number = 0; number < RateLimitReport::maxChanges; ++number) {
            call(answer(std::nullopt));
            call(answer(1.0));
        }
        CHECK(report.m_changes.size() == RateLimitReport::maxChanges);
        CHECK(report.m_changesOmitted == RateLimitReport::maxChanges + 1);
    }
}
