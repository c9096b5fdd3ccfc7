#include "routing/endpointratelimit.h"

#include <algorithm>
#include <cmath>

namespace flamingo {

namespace {

// An endpoint may name a slightly different rate in each answer; smaller changes are not reported.
constexpr double notableChange = 0.1; // share of the limit

// What an endpoint tolerates, since VMs act on its answers only after a while: in any such span of time this multiple
// of the calls that its limit allows, and some further calls.
constexpr double toleranceSpan = 4.0; // s
constexpr double toleratedMultiple = 1.5;
constexpr double toleratedExtraCalls = 5.0;
// Standard deviations of independent calls in the tolerance span that must fit into what is tolerated.
constexpr double deviationMargin = 5.0;
// Time without calls whose tokens are kept, at least one call for each VM.
constexpr double burstTime = 1.0; // s
// Least rate of all VMs together. Without calls no VM would learn that the limit has ended.
constexpr double minTotalRate = 0.25; // requests a second

double seconds(MonotonicClock::duration time) { return std::chrono::duration<double>(time).count(); }

bool isNotable(const std::optional<RequestsPerSecond>& before, const std::optional<RequestsPerSecond>& after)
{
    if (!before || !after)
        return before.has_value() != after.has_value();
    return std::abs(after->value() - before->value()) > notableChange * before->value();
}

/** Returns the rate at which independent calls exceed the tolerated number only by chance of the deviation margin. */
double rateOfIndependentCalls(double toleratedCalls)
{
    const double root = (std::sqrt(deviationMargin * deviationMargin + 4.0 * toleratedCalls) - deviationMargin) / 2.0;
    return root * root / toleranceSpan;
}

double availableTokens(const EndpointRateLimit& rateLimit, const RateShare& share, MonotonicTime now)
{
    const double earned = share.m_rate.value() * seconds(now - rateLimit.m_tokensAt);
    return std::min(share.m_burst, rateLimit.m_tokens + std::max(0.0, earned));
}

} // namespace

RateShare rateShare(RequestsPerSecond limit, std::uint32_t vms)
{
    const double toleratedCalls = toleratedMultiple * toleranceSpan * limit.value() + toleratedExtraCalls;
    const double burstOfAll = std::max(double(vms), limit.value() * burstTime);
    double total = limit.value();
    // Many VMs with a token each could exceed what is tolerated if all had a call at the same time. Then only chance
    // keeps their calls apart, and they must plan for less.
    if (burstOfAll + toleranceSpan * total > toleratedCalls)
        total = std::min(total, rateOfIndependentCalls(toleratedCalls));
    total = std::max(total, minTotalRate);
    return { RequestsPerSecond(total / double(vms)), std::max(1.0, total * burstTime / double(vms)) };
}

bool permitsCall(const EndpointRateLimit& rateLimit, std::uint32_t vms, MonotonicTime now)
{
    return !rateLimit.m_limit || availableTokens(rateLimit, rateShare(*rateLimit.m_limit, vms), now) >= 1.0;
}

MonotonicTime nextCallAt(const EndpointRateLimit& rateLimit, std::uint32_t vms, MonotonicTime now)
{
    if (!rateLimit.m_limit)
        return now;
    const RateShare share = rateShare(*rateLimit.m_limit, vms);
    const double missing = std::max(0.0, 1.0 - availableTokens(rateLimit, share, now));
    // The least rate of all VMs bounds the wait, so the conversion does not overflow.
    return now + std::chrono::ceil<Milliseconds>(std::chrono::duration<double>(missing / share.m_rate.value()));
}

void countCall(EndpointRateLimit& rateLimit, std::uint32_t vms, MonotonicTime now)
{
    if (!rateLimit.m_limit)
        return;
    rateLimit.m_tokens = availableTokens(rateLimit, rateShare(*rateLimit.m_limit, vms), now) - 1.0;
    rateLimit.m_tokensAt = now;
}

void setRateLimit(EndpointRateLimit& rateLimit, std::optional<RequestsPerSecond> limit, double phase, MonotonicTime now)
{
    if (limit && !rateLimit.m_limit) {
        rateLimit.m_tokens = std::min(rateLimit.m_tokens, phase);
        rateLimit.m_tokensAt = now;
    }
    rateLimit.m_limit = limit;
}

void reportRateLimit(RateLimitReport& report, const RateLimitChange& change)
{
    if (!isNotable(change.m_before, change.m_after))
        return;
    report.m_named += change.m_before ? 0U : 1U;
    report.m_ended += change.m_after ? 0U : 1U;
    if (report.m_changes.size() < RateLimitReport::maxChanges)
        report.m_changes.push_back(change);
    else
        ++report.m_changesOmitted;
}

} // namespace flamingo
