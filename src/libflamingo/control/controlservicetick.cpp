#include "control/apply.h"
#include "control/codec.h"
#include "control/controlservice.h"
#include "control/digest.h"
#include "control/heartbeatdecision.h"

#include <algorithm>

namespace flamingo {

namespace {

// If the loop did not run for this long, renewals may have arrived that are not yet read.
constexpr Milliseconds stallThreshold { 1000 };
constexpr Milliseconds expiryScanPeriod { 500 };
// Retention of the time at which a VM process was last heard.
constexpr Milliseconds vmLastHeardRetention { 60000 };

} // namespace

void ControlService::tick(MonotonicTime now)
{
    refreshRole(now);
    if (!m_ready)
        return;
    if (now - m_lastTick > stallThreshold)
        m_silenceCountedFrom = now;
    m_lastTick = now;
    updateLagFloor(now);
    completeReads(now);
    raiseFloor(m_leases, m_requestedRevision, now);
    if (now >= m_nextExpiry) {
        m_nextExpiry = now + expiryScanPeriod;
        departVms(now);
        removeVms(now);
        expireEndpoints(now);
    }
    if (now - m_lastApplied >= advanceTimePeriod)
        proposeInternal("advance time", AdvanceTime {}, now);
    m_fullCopiesThisTick = 0;
    const std::vector<std::string> addresses = m_ports.m_controlAddresses();
    for (auto& [link, session] : m_sessions) {
        sendAddresses(link, session, addresses);
        pushState(link, session);
    }
}

// --- State for entry VMs.

void ControlService::pushState(LinkId link, Session& session)
{
    const Revision current = m_state.m_published.m_revision;
    // At most one update is in flight on a link, so that a slow VM is sent one merged delta later.
    if (!session.m_hello || session.m_inFlight)
        return;
    if (session.m_base == current && session.m_baseDigest == publishedDigest(m_state.m_published))
        return;
    if (const std::string* delta = encodedDelta(session.m_base, session.m_baseDigest)) {
        ++m_counters.m_deltas;
        sendEncoded(link, *delta);
    } else {
        if (m_fullCopiesThisTick >= maxFullCopiesPerTick)
            return;
        ++m_fullCopiesThisTick;
        sendFullCopy(link);
    }
    session.m_inFlight = current;
}

// Caches the deltas by base revision, because most VMs have the same base.
const std::string* ControlService::encodedDelta(Revision base, std::uint64_t baseDigest)
{
    if (m_history.digestAt(base) != baseDigest)
        return nullptr;
    std::string& bytes = m_encodedDeltas[base];
    if (bytes.empty())
        bytes = encodeMessage(*m_history.deltaFrom(base, baseDigest));
    return &bytes;
}

void ControlService::sendFullCopy(LinkId link)
{
    ++m_counters.m_fullCopies;
    const Revision current = m_state.m_published.m_revision;
    if (!m_encodedCopy || m_encodedCopy->first != current)
        m_encodedCopy.emplace(
            current, encodeMessage(FullCopy { m_state.m_published, publishedDigest(m_state.m_published) }));
    sendEncoded(link, m_encodedCopy->second);
}

void ControlService::sendEncoded(LinkId link, const std::string& bytes)
{
    m_counters.m_stateBytesSent += bytes.size();
    m_ports.m_send(link, bytes);
}

// --- Reads.

void ControlService::completeReads(MonotonicTime now)
{
    const std::optional<MonotonicTime> round = m_ports.m_confirmedRoundStart();
    std::size_t finished = 0;
    while (finished < m_reads.size()) {
        const PendingRead& read = m_reads[finished];
        const bool confirmed = round && *round > read.m_since;
        if (!confirmed && now - read.m_since < readTimeout)
            break;
        ++finished;
        read.m_handler(confirmed);
    }
    m_reads.erase(m_reads.begin(), m_reads.begin() + static_cast<std::ptrdiff_t>(finished));
}

// --- Expiry.

void ControlService::updateLagFloor(MonotonicTime now)
{
    const Revision current = m_state.m_published.m_revision;
    if (m_lagSamples.empty() || m_lagSamples.rbegin()->second != current)
        m_lagSamples.emplace(now, current);
    while (!m_lagSamples.empty() && m_lagSamples.begin()->first + maxLag <= now) {
        m_lagFloor = std::max(m_lagFloor, m_lagSamples.begin()->second);
        m_lagSamples.erase(m_lagSamples.begin());
    }
}

void ControlService::expireEndpoints(MonotonicTime now)
{
    // If no VM renews, the leader itself is isolated, and missing renewals of endpoints prove nothing.
    const bool receivesRenewals = std::any_of(m_vmLastHeard.begin(), m_vmLastHeard.end(),
        [now](const auto& entry) { return now - entry.second <= leasePeriod; });
    if (!receivesRenewals)
        m_silenceCountedFrom = now;
    RemoveEndpoints removal;
    ExpiredEndpoints expired;
    bool batchIsDue = false;
    for (const auto& [id, endpoint] : m_state.m_published.m_endpoints) {
        const auto heard = m_endpointLastHeard.find(id);
        const MonotonicTime last
            = heard != m_endpointLastHeard.end() ? std::max(heard->second, m_silenceCountedFrom) : m_silenceCountedFrom;
        // A command in flight may be a drain, with which the endpoint must not be removed as merely silent.
        if (now - last < m_settings.m_endpointTtl || hasEndpointCommandInFlight(id))
            continue;
        const std::vector<RemoveEndpoints::Target> targets = decideExpiry(endpoint);
        removal.m_targets.insert(removal.m_targets.end(), targets.begin(), targets.end());
        expired.m_endpoints.push_back(id);
        expired.m_draining += endpoint.m_draining ? 1 : 0;
        batchIsDue = batchIsDue || now - last >= m_settings.m_endpointTtl + m_settings.m_removalBatchDelay;
    }
    if (!batchIsDue)
        return;
    if (!proposeInternal("remove endpoints", std::move(removal), now))
        return;
    m_counters.m_endpointsExpired += expired.m_endpoints.size();
    if (m_ports.m_onEndpointsExpired)
        m_ports.m_onEndpointsExpired(expired, m_settings.m_endpointTtl);
}

void ControlService::departVms(MonotonicTime now)
{
    std::vector<DepartVm> departures;
    for (const auto& [id, vm] : m_state.m_published.m_vms) {
        if (vm.m_departed || holdsLease(m_leases, id, vm.m_incarnation, now))
            continue;
        const auto heard = m_vmLastHeard.find({ id, vm.m_incarnation });
        const MonotonicTime last
            = heard != m_vmLastHeard.end() ? std::max(heard->second, m_silenceCountedFrom) : m_silenceCountedFrom;
        if (now - last < leasePeriod + departureGrace)
            continue;
        departures.push_back({ id, vm.m_incarnation });
    }
    for (const DepartVm& departure : departures) {
        ++m_counters.m_vmsDeparted;
        proposeInternal("depart " + departure.m_vm.value(), departure, now);
    }
    for (auto heard = m_vmLastHeard.begin(); heard != m_vmLastHeard.end();)
        heard = now - heard->second > vmLastHeardRetention ? m_vmLastHeard.erase(heard) : std::next(heard);
}

void ControlService::removeVms(MonotonicTime now)
{
    const LogTime wallTime = std::max(m_ports.m_wallClock(), m_state.m_logTime);
    std::vector<RemoveVm> removals;
    for (const auto& [id, vm] : m_state.m_published.m_vms) {
        if (vm.m_departed && wallTime.value() - vm.m_departedAt.value() >= Milliseconds(departedVmRetention).count())
            removals.push_back({ id, vm.m_incarnation });
    }
    for (const RemoveVm& removal : removals)
        proposeInternal("remove " + removal.m_vm.value(), removal, now);
}

} // namespace flamingo
