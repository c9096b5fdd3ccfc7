#include "daemon/ratelimitlog.h"

#include "base/log.h"

#include <cstdio>
#include <string>

namespace flamingo {

namespace {

std::string rateText(const std::optional<RequestsPerSecond>& rate)
{
    if (!rate)
        return "none";
    char text[32];
    std::snprintf(text, sizeof(text), "%.3g", rate->value());
    return text;
}

} // namespace

void logRateLimitChanges(RateLimitReport& report)
{
    for (const RateLimitChange& change : report.m_changes)
        FLAMINGO_LOG(Info, change.m_after ? "endpoint rate limit named" : "endpoint rate limit ended",
            { "endpoint", change.m_endpoint.value() }, { "service", change.m_service.value() },
            { "before_per_s", rateText(change.m_before) }, { "after_per_s", rateText(change.m_after) });
    report.m_changes.clear();
    if (report.m_changesOmitted == 0)
        return;
    FLAMINGO_LOG(Info, "endpoint rate limit changes omitted", { "count", std::to_string(report.m_changesOmitted) });
    report.m_changesOmitted = 0;
}

} // namespace flamingo
