#pragma once

#include "base/time.h"
#include "customers/customer.h"
#include "quota/quotastatus.h"
#include "quota/quotausage.h"

#include <cstdint>
#include <map>
#include <vector>

namespace flamingo {

/** Token bucket of one customer's quota, at the VM that owns it. */
struct QuotaBucket {
    /** How many of a VM's requests have been taken from the bucket. */
    struct Counted {
        Incarnation m_incarnation;
        std::uint64_t m_to = 0; // with the requests that were granted
    };

    Quota m_quota;
    double m_tokens = 0.0; // requests that may still run; below 0 after requests beyond the quota
    MonotonicTime m_tokensAt {};
    MonotonicTime m_countedAt {}; // when usage was last reported
    bool m_exhausted = false;
    MonotonicTime m_announceAt = MonotonicTime::max(); // when all VMs must be told whether it is exhausted
    std::map<VmId, Counted> m_counted;
};

/**
 * Token buckets of the quotas that this VM owns.
 *
 * VMs admit the requests of a customer at once and report them afterwards. When the tokens run out, the bucket becomes
 * exhausted: all VMs are told, and ask for a grant before each request until it has recovered. A bucket starts empty,
 * since another VM may have owned the quota until then. A plain value, used on one event loop.
 */
struct QuotaBuckets {
    double m_slack = 0.0; // requests beyond an empty bucket that do not yet exhaust it
    std::map<CustomerName, QuotaBucket> m_byCustomer;
};

/**
 * Takes the reported requests from the bucket and decides on those that wait.
 *
 * Handles one customer's load on any number of VMs.
 */
QuotaStatus countUsage(QuotaBuckets& buckets, const Quota& quota, const QuotaUsage& usage, MonotonicTime now);

/**
 * Returns the announcements that are due to all VMs, and forgets buckets without usage for a minute.
 *
 * An exhausted bucket is announced at once and repeatedly, since announcements may be lost.
 */
std::vector<QuotaStatus> takeAnnouncements(QuotaBuckets& buckets, MonotonicTime now);

} // namespace flamingo
