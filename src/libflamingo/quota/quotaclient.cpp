#include "quota/quotaclient.h"

#include "base/hash.h"
#include "routing/connectionshare.h"

#include <algorithm>
#include <utility>

namespace flamingo {

namespace {

// VMs that may own a quota. With three, two may be lost at once.
constexpr std::size_t ownerCount = 3;
// A report without an answer after this time counts as lost and is repeated. Longer than a busy VM takes to answer.
constexpr Milliseconds reportTimeout { 100 };
constexpr unsigned unansweredToAvoid = 2;
constexpr Milliseconds avoidance { 2000 };
constexpr Milliseconds maxWait { 250 };
// Longer than two intervals of announcements, so that one may be lost.
constexpr Milliseconds exhaustedMemory { 2500 };
constexpr Milliseconds isolatedRetryAfter { 200 };
// Share of a quota that a VM may use while no owner answers. Few VMs are cut off at a time.
constexpr double isolatedShare = 0.1;

void rankOwners(const QuotaClient& client, const CustomerName& customer, QuotaUse& use)
{
    const std::uint64_t key = hashBytes(customer.value());
    std::vector<std::pair<std::uint64_t, VmId>> ranked;
    for (const VmId& vm : client.m_vms)
        ranked.emplace_back(rendezvousScore(key, hashBytes(vm.value())), vm);
    std::sort(ranked.rbegin(), ranked.rend());
    use.m_owners.clear();
    for (std::size_t index = 0; index < std::min(ownerCount, ranked.size()); ++index)
        use.m_owners.push_back(ranked[index].second);
    use.m_ownersGeneration = client.m_generation;
}

/** Returns the VM to report to, or nothing if none of the quota's owners answers. */
std::optional<VmId> ownerOf(const QuotaClient& client, const CustomerName& customer, QuotaUse& use, MonotonicTime now)
{
    if (use.m_ownersGeneration != client.m_generation)
        rankOwners(client, customer, use);
    for (const VmId& vm : use.m_owners) {
        const auto health = client.m_health.find(vm);
        if (vm == client.m_vm || health == client.m_health.end() || now >= health->second.m_avoidedUntil)
            return vm;
    }
    return std::nullopt;
}

/** Returns whether no owner of the quota answers, as far as known. */
bool isIsolated(const QuotaClient& client, const CustomerName& customer, QuotaUse& use)
{
    if (use.m_ownersGeneration != client.m_generation)
        rankOwners(client, customer, use);
    return std::all_of(use.m_owners.begin(), use.m_owners.end(), [&client](const VmId& vm) {
        const auto health = client.m_health.find(vm);
        return vm != client.m_vm && health != client.m_health.end() && health->second.m_failed;
    });
}

AdmissionResult admitIsolated(QuotaUse& use, const Quota& quota, MonotonicTime now)
{
    const double age = std::chrono::duration<double>(now - use.m_isolatedTokensAt).count();
    const double burst = std::max(1.0, quota.m_burst * isolatedShare);
    use.m_isolatedTokens
        = std::min(burst, use.m_isolatedTokens + std::max(0.0, age) * quota.m_rate.value() * isolatedShare);
    use.m_isolatedTokensAt = now;
    if (use.m_isolatedTokens < 1.0)
        return { QuotaDecision::Refused, {}, isolatedRetryAfter };
    use.m_isolatedTokens -= 1.0;
    ++use.m_admitted;
    return {};
}

void setExhausted(QuotaUse& use, const QuotaStatus& status, MonotonicTime now)
{
    use.m_exhaustedUntil = status.m_exhausted ? now + exhaustedMemory : MonotonicTime {};
    if (!status.m_exhausted)
        use.m_refusedUntil = MonotonicTime {};
}

void countUnanswered(QuotaClient& client, const VmId& vm, MonotonicTime now)
{
    OwnerHealth& health = client.m_health[vm];
    if (++health.m_unanswered < unansweredToAvoid)
        return;
    health.m_failed = true;
    health.m_avoidedUntil = now + avoidance;
    health.m_unanswered = unansweredToAvoid - 1;
}

void giveUpWaiting(QuotaUse& use, MonotonicTime now, std::vector<GrantDecision>& decisions)
{
    while (!use.m_waiting.empty() && now >= use.m_waiting.front().m_giveUpAt) {
        decisions.push_back({ use.m_waiting.front().m_grant, false, isolatedRetryAfter });
        use.m_waiting.pop_front();
    }
}

} // namespace

void setQuotaVms(QuotaClient& client, std::vector<VmId> vms)
{
    std::sort(vms.begin(), vms.end());
    if (vms == client.m_vms)
        return;
    client.m_vms = std::move(vms);
    ++client.m_generation;
    for (auto health = client.m_health.begin(); health != client.m_health.end();) {
        const bool known = std::binary_search(client.m_vms.begin(), client.m_vms.end(), health->first);
        health = known ? std::next(health) : client.m_health.erase(health);
    }
}

std::vector<GrantDecision> forgetCustomers(QuotaClient& client, const CustomerTable& customers)
{
    std::vector<GrantDecision> decisions;
    for (auto position = client.m_uses.begin(); position != client.m_uses.end();) {
        if (findCustomer(customers, position->first)) {
            ++position;
            continue;
        }
        for (const QuotaUse::Waiting& waiting : position->second.m_waiting)
            decisions.push_back({ waiting.m_grant, true, {} });
        position = client.m_uses.erase(position);
    }
    return decisions;
}

AdmissionResult admitRequest(QuotaClient& client, const Customer& customer, MonotonicTime now)
{
    if (!customer.m_quota.isLimited())
        return {};
    QuotaUse& use = client.m_uses[customer.m_name];
    if (isIsolated(client, customer.m_name, use))
        return admitIsolated(use, customer.m_quota, now);
    if (now >= use.m_exhaustedUntil) {
        ++use.m_admitted;
        return {};
    }
    if (now < use.m_refusedUntil)
        return { QuotaDecision::Refused, {}, std::chrono::ceil<Milliseconds>(use.m_refusedUntil - now) };
    const GrantId grant(++client.m_lastGrant);
    use.m_waiting.push_back({ grant, now + maxWait });
    return { QuotaDecision::Waiting, grant, {} };
}

std::optional<QuotaReport> nextReport(QuotaClient& client, const CustomerName& customer, MonotonicTime now)
{
    const auto found = client.m_uses.find(customer);
    if (found == client.m_uses.end())
        return std::nullopt;
    QuotaUse& use = found->second;
    if (use.m_openReport || (use.m_admitted == use.m_confirmed && use.m_waiting.empty()))
        return std::nullopt;
    const auto vm = ownerOf(client, customer, use, now);
    if (!vm)
        return std::nullopt;
    QuotaReport report;
    report.m_to = *vm;
    report.m_usage.m_vm = client.m_vm;
    report.m_usage.m_incarnation = client.m_incarnation;
    report.m_usage.m_customer = customer;
    report.m_usage.m_from = use.m_confirmed;
    report.m_usage.m_to = use.m_admitted;
    report.m_usage.m_wanted = static_cast<std::uint32_t>(use.m_waiting.size());
    use.m_openReport = { *vm, use.m_admitted, report.m_usage.m_wanted, now + reportTimeout };
    return report;
}

std::vector<GrantDecision> handleStatus(
    QuotaClient& client, const VmId& from, const QuotaStatus& status, MonotonicTime now)
{
    client.m_health.erase(from);
    const auto found = client.m_uses.find(status.m_customer);
    if (found == client.m_uses.end())
        return {};
    QuotaUse& use = found->second;
    const auto open = use.m_openReport;
    if (!open || open->m_vm != from || open->m_to != status.m_confirmed)
        return {}; // late: the report was given up and sent again
    use.m_openReport.reset();
    use.m_confirmed = status.m_confirmed + status.m_granted;
    use.m_admitted += status.m_granted;
    setExhausted(use, status, now);
    std::vector<GrantDecision> decisions;
    for (std::uint32_t index = 0; index < open->m_wanted && !use.m_waiting.empty(); ++index) {
        const bool granted = index < status.m_granted;
        decisions.push_back({ use.m_waiting.front().m_grant, granted, status.m_retryAfter });
        use.m_waiting.pop_front();
        if (!granted)
            use.m_refusedUntil = now + status.m_retryAfter;
    }
    return decisions;
}

void handleAnnouncement(QuotaClient& client, const QuotaStatus& status, MonotonicTime now)
{
    setExhausted(client.m_uses[status.m_customer], status, now);
}

std::vector<GrantDecision> expireReports(QuotaClient& client, MonotonicTime now)
{
    std::vector<GrantDecision> decisions;
    for (auto& [customer, use] : client.m_uses) {
        if (use.m_openReport && now >= use.m_openReport->m_expiresAt) {
            countUnanswered(client, use.m_openReport->m_vm, now);
            use.m_openReport.reset();
        }
        giveUpWaiting(use, now, decisions);
    }
    return decisions;
}

} // namespace flamingo
