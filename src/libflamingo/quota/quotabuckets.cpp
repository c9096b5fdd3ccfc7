#include "quota/quotabuckets.h"

#include <algorithm>
#include <cmath>

namespace flamingo {

namespace {

// VMs forget an announcement after a few times this long, see quotaclient.cpp.
constexpr Milliseconds announcementInterval { 1000 };
constexpr std::chrono::seconds bucketRetention { 60 };
// Share of the burst that must have accumulated before requests run without a grant again.
constexpr double recoveredShare = 0.5;
constexpr Milliseconds minRetryAfter { 20 };
constexpr Milliseconds maxRetryAfter { 1000 };

// A quota whose burst is below one request could never be used.
double capacity(const Quota& quota) { return std::max(1.0, quota.m_burst); }

void refill(QuotaBucket& bucket, MonotonicTime now)
{
    const double age = std::chrono::duration<double>(now - bucket.m_tokensAt).count();
    const double earned = bucket.m_quota.m_rate.value() * std::max(0.0, age);
    bucket.m_tokens = std::min(capacity(bucket.m_quota), bucket.m_tokens + earned);
    bucket.m_tokensAt = now;
}

void setExhausted(QuotaBucket& bucket, bool exhausted, MonotonicTime now)
{
    if (bucket.m_exhausted == exhausted)
        return;
    bucket.m_exhausted = exhausted;
    bucket.m_announceAt = now;
}

void updateExhausted(QuotaBucket& bucket, double slack, MonotonicTime now)
{
    const double recovered = std::max(1.0, capacity(bucket.m_quota) * recoveredShare);
    if (bucket.m_tokens < -slack)
        setExhausted(bucket, true, now);
    else if (bucket.m_tokens >= recovered)
        setExhausted(bucket, false, now);
}

/** Takes the reported requests from the bucket that were not taken before. */
void count(QuotaBucket& bucket, const QuotaUsage& usage)
{
    const auto [position, isNew] = bucket.m_counted.try_emplace(usage.m_vm);
    QuotaBucket::Counted& counted = position->second;
    const bool known = !isNew && counted.m_incarnation == usage.m_incarnation;
    if (known && usage.m_from > counted.m_to) {
        // Another VM has counted these meanwhile. They used up what seems to have accumulated here, and no more.
        const auto elsewhere = static_cast<double>(usage.m_from - counted.m_to);
        bucket.m_tokens = std::min(bucket.m_tokens, std::max(0.0, bucket.m_tokens - elsewhere));
    }
    const std::uint64_t from = known ? std::max(usage.m_from, counted.m_to) : usage.m_from;
    const std::uint64_t to = std::max(from, usage.m_to);
    bucket.m_tokens -= static_cast<double>(to - from);
    counted = { usage.m_incarnation, to };
}

Milliseconds retryAfter(const QuotaBucket& bucket)
{
    const double missing = std::max(0.0, 1.0 - bucket.m_tokens);
    const double seconds = missing / bucket.m_quota.m_rate.value();
    const double limit = std::chrono::duration<double>(maxRetryAfter).count();
    const auto wait = std::chrono::ceil<Milliseconds>(std::chrono::duration<double>(std::min(seconds, limit)));
    return std::max(wait, minRetryAfter);
}

QuotaStatus describe(const CustomerName& customer, const QuotaBucket& bucket)
{
    QuotaStatus status;
    status.m_customer = customer;
    status.m_exhausted = bucket.m_exhausted;
    if (bucket.m_exhausted)
        status.m_retryAfter = retryAfter(bucket);
    return status;
}

} // namespace

QuotaStatus countUsage(QuotaBuckets& buckets, const Quota& quota, const QuotaUsage& usage, MonotonicTime now)
{
    const auto [position, isNew] = buckets.m_byCustomer.try_emplace(usage.m_customer);
    QuotaBucket& bucket = position->second;
    if (isNew)
        bucket.m_tokensAt = now;
    bucket.m_quota = quota;
    bucket.m_countedAt = now;
    refill(bucket, now);
    count(bucket, usage);
    updateExhausted(bucket, buckets.m_slack, now);
    const double available = std::floor(std::max(0.0, bucket.m_tokens));
    const double granted = bucket.m_exhausted ? std::min(double(usage.m_wanted), available) : double(usage.m_wanted);
    bucket.m_tokens -= granted;
    bucket.m_counted[usage.m_vm].m_to += static_cast<std::uint64_t>(granted);
    QuotaStatus status = describe(usage.m_customer, bucket);
    status.m_confirmed = usage.m_to;
    status.m_granted = static_cast<std::uint32_t>(granted);
    return status;
}

std::vector<QuotaStatus> takeAnnouncements(QuotaBuckets& buckets, MonotonicTime now)
{
    std::vector<QuotaStatus> due;
    for (auto position = buckets.m_byCustomer.begin(); position != buckets.m_byCustomer.end();) {
        QuotaBucket& bucket = position->second;
        refill(bucket, now);
        updateExhausted(bucket, buckets.m_slack, now);
        if (now >= bucket.m_announceAt) {
            due.push_back(describe(position->first, bucket));
            bucket.m_announceAt = bucket.m_exhausted ? now + announcementInterval : MonotonicTime::max();
        }
        const bool forgotten = !bucket.m_exhausted && now - bucket.m_countedAt > bucketRetention;
        position = forgotten ? buckets.m_byCustomer.erase(position) : std::next(position);
    }
    return due;
}

} // namespace flamingo
