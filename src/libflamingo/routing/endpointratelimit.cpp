#include "routing/endpointratelimit.h"

#include <cmath>

namespace flamingo {

namespace {

// An endpoint may name a slightly different rate in each answer; smaller changes are not reported.
constexpr double notableChange = 0.1; // share of the limit

bool isNotable(const std::optional<RequestsPerSecond>& before, const std::optional<RequestsPerSecond>& after)
{
    if (!before || !after)
        return before.has_value() != after.has_value();
    return std::abs(after->value() - before->value()) > notableChange * before->value();
}

} // namespace

void setRateLimit(EndpointRateLimit& rateLimit, std::optional<RequestsPerSecond> limit, const EndpointId& endpoint,
    const ServiceName& service, RateLimitReport& report)
{
    const std::optional<RequestsPerSecond> before = rateLimit.m_limit;
    rateLimit.m_limit = limit;
    if (!isNotable(before, limit))
        return;
    report.m_named += before ? 0U : 1U;
    report.m_ended += limit ? 0U : 1U;
    if (report.m_changes.size() < RateLimitReport::maxChanges)
        report.m_changes.push_back({ endpoint, service, before, limit });
    else
        ++report.m_changesOmitted;
}

} // namespace flamingo
