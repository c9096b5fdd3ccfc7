#include "control/controlclient.h"

#include "control/codec.h"

#include <algorithm>

namespace flamingo {

ControlClient::ControlClient(ControlClientSettings settings, ControlClientPorts ports)
    : m_settings(std::move(settings))
    , m_ports(std::move(ports))
    , m_leaseView(std::make_shared<LeaseView>())
{
    updateCandidates();
    // VMs that start at the same time begin with different control VMs.
    if (!m_settings.m_controlAddresses.empty())
        m_nextAddress
            = static_cast<std::size_t>(m_ports.m_random() * static_cast<double>(m_settings.m_controlAddresses.size()));
}

// --- Link.

void ControlClient::connect(const std::string& address, MonotonicTime now)
{
    m_phase = Phase::Connecting;
    m_phaseSince = now;
    m_link = LinkId(m_link.value() + 1);
    m_linkAddress = address;
    m_ports.m_connect(m_link, address);
}

void ControlClient::abandonLink()
{
    if (m_phase != Phase::Waiting)
        m_ports.m_close(m_link);
    m_phase = Phase::Waiting;
    m_unansweredSince.reset();
    m_lease.m_unansweredRenewals.clear(); // answers on this link are no longer received
}

void ControlClient::fail(Reason reason, MonotonicTime now)
{
    m_reason = std::move(reason);
    abandonLink();
    const int doublings = std::min(m_failures++, 10);
    const bool starting = state()->m_revision == Revision() && m_failures <= maxStartingAttempts;
    const Milliseconds longest = starting ? maxStartingBackoff : maxBackoff;
    const Milliseconds backoff = std::min(initialBackoff * (1 << doublings), longest);
    // Jitter between half and the whole backoff spreads the reconnects of VMs that lost the same leader.
    const double factor = 0.5 + 0.5 * m_ports.m_random();
    m_retryAt = now + std::chrono::duration_cast<Microseconds>(backoff * factor);
}

void ControlClient::followLeaderHint(const NotLeader& message, MonotonicTime now)
{
    // Without a limit, two control VMs that refer to each other would be asked in turn without a pause.
    constexpr int maxHints = 3;
    const bool usable = !message.m_leaderAddress.empty() && message.m_leaderAddress != m_linkAddress;
    if (usable && m_hintsFollowed < maxHints) {
        ++m_hintsFollowed;
        abandonLink();
        connect(message.m_leaderAddress, now);
        return;
    }
    m_leaderHint = usable ? message.m_leaderAddress : std::string();
    fail(Reason { ResultCode::NotLeader, m_linkAddress + " is not the leader" }, now);
}

void ControlClient::onLinkOpened(LinkId link, MonotonicTime now)
{
    if (link != m_link || m_phase != Phase::Connecting)
        return;
    m_phase = Phase::Open;
    m_phaseSince = now;
    sendHello(false);
    sendRenew(now);
    for (auto& [sequence, pending] : m_pending)
        sendPending(pending);
}

void ControlClient::onLinkClosed(LinkId link, MonotonicTime now)
{
    if (link != m_link || m_phase == Phase::Waiting)
        return;
    fail(Reason { ResultCode::ControlUnavailable, "the link to control VM " + m_linkAddress + " closed" }, now);
}

void ControlClient::send(const ControlMessage& message) { m_ports.m_send(m_link, encodeMessage(message)); }

void ControlClient::sendHello(bool wantFullCopy)
{
    Hello hello { m_settings.m_vm, m_settings.m_incarnation, m_settings.m_dataCentre, m_settings.m_address,
        m_state.current()->m_revision, m_state.digest() };
    if (wantFullCopy) {
        hello.m_appliedRevision = Revision();
        hello.m_appliedDigest = 0;
    }
    send(hello);
}

void ControlClient::sendRenew(MonotonicTime now)
{
    Renew renew { ++m_sequence, m_state.current()->m_revision, {}, m_leaving };
    renew.m_endpointRenewals.assign(m_endpointRenewals.begin(), m_endpointRenewals.end());
    m_endpointRenewals.clear();
    if (m_leaving && m_leavingSequence == 0)
        m_leavingSequence = m_sequence;
    recordRenewalSent(m_lease, m_sequence, now);
    if (!m_unansweredSince)
        m_unansweredSince = now;
    m_nextRenew = now + (m_leaseView->valid(now) || m_leaving ? renewInterval : startingRenewInterval);
    send(renew);
}

void ControlClient::sendPending(Pending& pending)
{
    pending.m_everSent = true;
    std::visit([this](const auto& request) { send(request); }, pending.m_request);
}

// --- Messages.

void ControlClient::onMessage(LinkId link, std::string_view bytes, MonotonicTime now)
{
    if (link != m_link || m_phase != Phase::Open)
        return;
    Reason reason;
    auto message = decodeMessage(bytes, reason);
    if (!message) {
        fail(std::move(reason), now);
        return;
    }
    std::visit([this, now](auto& fields) { handle(fields, now); }, *message);
}

void ControlClient::refuseMessage(MonotonicTime now)
{
    fail(Reason { ResultCode::MalformedBody,
             "control VM " + m_linkAddress + " sent a message of a type that entry VMs do not accept" },
        now);
}

void ControlClient::handle(const Grant& grant, MonotonicTime)
{
    m_logTime = std::max(m_logTime, grant.m_logTime);
    if (m_leaving) {
        m_leaveAcknowledged = m_leaveAcknowledged || (m_leavingSequence != 0 && grant.m_sequence >= m_leavingSequence);
        m_unansweredSince.reset();
        return;
    }
    if (!applyGrant(m_lease, grant.m_sequence, grant.m_remaining))
        return;
    m_unansweredSince.reset();
    if (!m_lease.m_unansweredRenewals.empty())
        m_unansweredSince = m_lease.m_unansweredRenewals.begin()->second;
    if (grant.m_remaining > Milliseconds(0)) {
        m_failures = 0;
        m_hintsFollowed = 0;
    }
    const VmRecord* own = ownRecord();
    if (grant.m_admitted && own != nullptr)
        m_admittedIn = own->m_admittedIn;
    updateLeaseView();
}

void ControlClient::handle(const NotLeader& message, MonotonicTime now) { followLeaderHint(message, now); }

void ControlClient::handle(const ControlAddresses& message, MonotonicTime)
{
    m_announcedAddresses = message.m_addresses;
    updateCandidates();
}

void ControlClient::handle(Delta& delta, MonotonicTime now)
{
    handleStateUpdate(m_state.update(std::move(delta)), now);
}

void ControlClient::handle(FullCopy& copy, MonotonicTime now)
{
    handleStateUpdate(m_state.update(std::move(copy)), now);
}

void ControlClient::handleStateUpdate(StateUpdate update, MonotonicTime now)
{
    switch (update) {
    case StateUpdate::Applied:
        // New work must see the state before the lease is updated and the revision is confirmed.
        m_ports.m_onState(m_state.current());
        updateLeaseView();
        sendRenew(now);
        return;
    case StateUpdate::Stale:
        m_reason = Reason { ResultCode::VersionMismatch,
            "control VM " + m_linkAddress + " sent a state that is not newer than the current one" };
        return;
    case StateUpdate::Mismatch:
        m_reason = Reason { ResultCode::VersionMismatch,
            "a state update does not follow the current state or has another digest; requesting a full copy" };
        sendHello(true);
        return;
    }
}

const VmRecord* ControlClient::ownRecord() const
{
    const auto& vms = state()->m_vms;
    const auto own = vms.find(m_settings.m_vm);
    const bool isOwn
        = own != vms.end() && own->second.m_incarnation == m_settings.m_incarnation && !own->second.m_departed;
    return isOwn ? &own->second : nullptr;
}

void ControlClient::updateLeaseView()
{
    const VmRecord* own = ownRecord();
    const bool admitted = own != nullptr && m_admittedIn == own->m_admittedIn;
    m_leaseView->set(admitted && !m_leaving && m_lease.m_validUntil ? *m_lease.m_validUntil : MonotonicTime());
}

// --- Time.

void ControlClient::tick(MonotonicTime now)
{
    if (m_phase == Phase::Waiting && now >= m_retryAt && !m_candidates.empty()) {
        std::string address = std::move(m_leaderHint);
        m_leaderHint.clear();
        if (address.empty())
            address = m_candidates[m_nextAddress++ % m_candidates.size()];
        connect(address, now);
    }
    if (m_phase == Phase::Connecting && now - m_phaseSince >= connectTimeout)
        fail(
            Reason { ResultCode::ControlUnavailable, "connecting to control VM " + m_linkAddress + " timed out" }, now);
    if (m_phase == Phase::Open && m_unansweredSince && now - *m_unansweredSince >= answerTimeout)
        fail(Reason { ResultCode::ControlUnavailable,
                 "control VM " + m_linkAddress + " did not answer a renewal in time" },
            now);
    if (m_phase == Phase::Open && now >= m_nextRenew)
        sendRenew(now);
    expirePending(now);
}

void ControlClient::setControlAddresses(std::vector<std::string> addresses)
{
    if (addresses.empty())
        return;
    m_settings.m_controlAddresses = std::move(addresses);
    updateCandidates();
}

// Keeps the addresses of the settings as candidates, because the announced addresses may be out of date.
void ControlClient::updateCandidates()
{
    m_candidates = m_announcedAddresses;
    for (const std::string& address : m_settings.m_controlAddresses) {
        if (std::find(m_candidates.begin(), m_candidates.end(), address) == m_candidates.end())
            m_candidates.push_back(address);
    }
}

void ControlClient::reportEndpointRenewal(const EndpointId& endpoint) { m_endpointRenewals.insert(endpoint); }

void ControlClient::leave(MonotonicTime now)
{
    m_leaving = true;
    dropLease(m_lease);
    updateLeaseView();
    if (m_phase == Phase::Open)
        sendRenew(now);
}

} // namespace flamingo
