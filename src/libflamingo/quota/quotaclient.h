#pragma once

#include "base/time.h"
#include "customers/customertable.h"
#include "quota/quotastatus.h"
#include "quota/quotausage.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace flamingo {

/** Number of a request that waits for a grant, unique within this VM. */
using GrantId = StrongValue<struct GrantIdTag, std::uint64_t>;

/** What happens to a request of a customer with a quota. */
enum class QuotaDecision {
    Admitted,
    Refused,
    Waiting, // for the answer of the VM that owns the quota
};

/** A decision on a request that has waited. */
struct GrantDecision {
    GrantId m_grant;
    bool m_admitted = false;
    Milliseconds m_retryAfter { 0 }; // if it is refused
};

/** A report of usage and the VM that it must be sent to. */
struct QuotaReport {
    VmId m_to;
    QuotaUsage m_usage;
};

/** What this VM knows of one customer's quota. */
struct QuotaUse {
    struct Waiting {
        GrantId m_grant;
        MonotonicTime m_giveUpAt;
    };
    /** A report that is not yet answered. */
    struct OpenReport {
        VmId m_vm;
        std::uint64_t m_to = 0;
        std::uint32_t m_wanted = 0;
        MonotonicTime m_expiresAt;
    };

    std::uint64_t m_admitted = 0; // requests admitted since the start of this VM
    std::uint64_t m_confirmed = 0; // of these, the number that has been confirmed
    MonotonicTime m_exhaustedUntil {}; // until then, requests need a grant
    MonotonicTime m_refusedUntil {}; // until then, no request gets one
    std::deque<Waiting> m_waiting; // in order of arrival
    std::optional<OpenReport> m_openReport;
    double m_isolatedTokens = 1.0; // for use while no owner answers
    MonotonicTime m_isolatedTokensAt {};
    std::vector<VmId> m_owners; // VMs that may own the quota, the first choice first
    std::uint64_t m_ownersGeneration = 0; // QuotaClient::m_generation that they are for
};

/** Whether a VM answers reports. */
struct OwnerHealth {
    unsigned m_unanswered = 0; // reports in a row without an answer
    bool m_failed = false; // too many of them, and no answer since
    MonotonicTime m_avoidedUntil {}; // then one report tries whether it is back
};

/**
 * Decides on the requests of customers at this VM, see QuotaBuckets for the owner's side.
 *
 * Each quota is owned by one VM, found by rendezvous hashing of the customer's name, so that the quotas spread over
 * all VMs and need no state of their own in the control plane. If that VM does not answer, the next one takes over. A
 * VM that reaches none of them admits a small share of the quota. A plain value, used on one event loop.
 */
struct QuotaClient {
    VmId m_vm; // this VM
    Incarnation m_incarnation;
    std::vector<VmId> m_vms; // all serving VMs
    std::uint64_t m_generation = 0; // grows when m_vms changes
    std::map<CustomerName, QuotaUse> m_uses;
    std::map<VmId, OwnerHealth> m_health;
    std::uint64_t m_lastGrant = 0;
};

/** Replaces the VMs that may own quotas. */
void setQuotaVms(QuotaClient& client, std::vector<VmId> vms);

/** Forgets the customers that are not in the table; their waiting requests are admitted. */
std::vector<GrantDecision> forgetCustomers(QuotaClient& client, const CustomerTable& customers);

/** Result of admitRequest(). */
struct AdmissionResult {
    QuotaDecision m_decision = QuotaDecision::Admitted;
    GrantId m_grant; // if it waits
    Milliseconds m_retryAfter { 0 }; // if it is refused
};

/** Decides on a request of the customer. A report may be due afterwards, see nextReport(). */
AdmissionResult admitRequest(QuotaClient& client, const Customer& customer, MonotonicTime now);

/** Returns the report about the customer that is due, if any, and counts it as sent. */
std::optional<QuotaReport> nextReport(QuotaClient& client, const CustomerName& customer, MonotonicTime now);

/** Handles the answer of a VM to a report, and returns the decisions on requests that waited for it. */
std::vector<GrantDecision> handleStatus(
    QuotaClient& client, const VmId& from, const QuotaStatus& status, MonotonicTime now);

/** Handles an announcement to all VMs. */
void handleAnnouncement(QuotaClient& client, const QuotaStatus& status, MonotonicTime now);

/** Gives up reports without an answer and requests that have waited too long; reports may be due afterwards. */
std::vector<GrantDecision> expireReports(QuotaClient& client, MonotonicTime now);

} // namespace flamingo
