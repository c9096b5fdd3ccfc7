#include "daemon/controlrole.h"

#include "base/log.h"
#include "consensus/consensusmember.h"
#include "control/controlservice.h"
#include "daemon/administration.h"
#include "daemon/controlapi.h"
#include "link/linkpath.h"
#include "link/linkserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>

namespace flamingo {

namespace {

// Limits the length of the log line when many endpoints expire at the same time.
constexpr std::size_t maxLoggedEndpoints = 8;

void logExpiredEndpoints(const ExpiredEndpoints& expired, Milliseconds ttl)
{
    std::string endpoints;
    for (std::size_t number = 0; number < std::min(maxLoggedEndpoints, expired.m_endpoints.size()); ++number)
        endpoints += (number > 0 ? "," : "") + expired.m_endpoints[number].value();
    FLAMINGO_LOG(Info, "endpoint registrations expired", { "count", expired.m_endpoints.size() },
        { "draining", expired.m_draining }, { "endpoints", endpoints }, { "ttl_ms", ttl });
}

template <typename Members> std::string joinIds(const Members& members)
{
    std::string text;
    for (const MemberId& member : members)
        text += (text.empty() ? "" : ",") + member.value();
    return text;
}

std::string joinVoterAddresses(const Configuration& configuration)
{
    std::string text;
    for (const MemberRecord& member : configuration.m_members) {
        if (member.m_voter)
            text += (text.empty() ? "" : ",") + member.m_address;
    }
    return text;
}

} // namespace

ControlRole::ControlRole(
    boost::asio::io_context& io, ControlRoleSettings settings, std::function<void(const Reason&)> onFailure)
    : m_io(io)
    , m_settings(std::move(settings))
    , m_onFailure(std::move(onFailure))
    , m_peers(io)
{
}

ControlRole::~ControlRole() { stop(); }

bool ControlRole::start(MonotonicTime now, Reason& reason)
{
    if (!openMember(now, reason))
        return false;

    LinkServerCallbacks callbacks;
    callbacks.m_opened = [this](LinkId link, const std::string&, const std::string& path) { linkOpened(link, path); };
    callbacks.m_message = [this](LinkId link, const std::string& message) { linkMessage(link, message); };
    callbacks.m_closed = [this](LinkId link, const Reason&) { linkClosed(link); };
    m_server
        = std::make_unique<LinkServer>(m_io, m_settings.m_listenAddress, m_settings.m_listenPort, std::move(callbacks));
    return m_server->start(reason);
}

bool ControlRole::openMember(MonotonicTime now, Reason& reason)
{
    makeService();
    m_member = ConsensusMember::open(m_settings.m_member, memberCallbacks(), now, reason);
    if (!m_member)
        return false;
    if (m_settings.m_api.m_port == 0 || m_settings.m_protocol == nullptr)
        return true;
    m_api = std::make_unique<ControlApi>(m_io, *m_settings.m_protocol, *m_service, *m_member);
    return m_api->start(m_settings.m_api, reason);
}

void ControlRole::stopApi()
{
    if (m_api)
        m_api->stopAccepting();
}

void ControlRole::closeMember()
{
    m_api.reset();
    m_member.reset();
}

// Reopening the log discards the remains of a failed write, as a restart of the process would.
void ControlRole::reopenIfFailed(MonotonicTime now)
{
    if ((m_member && !m_member->failed()) || now < m_reopenAt)
        return;
    m_reopenAt = now + reopenInterval;
    closeMember();
    Reason reason;
    if (openMember(now, reason)) {
        FLAMINGO_LOG(Info, "replicated log reopened", { "member", m_member->id().value() });
        return;
    }
    FLAMINGO_LOG(Warning, "replicated log reopen failed", { "reason", reason.m_text });
    closeMember();
}

// After a long network partition a VM may find that a replacement has taken over its vote. It joins again under a new
// member id.
void ControlRole::rejoinIfRemoved(MonotonicTime now)
{
    if (!m_settings.m_member.m_openMembership || !m_member->removed())
        return;
    const MemberId removed = m_member->id();
    m_settings.m_member = rejoinSettings(std::move(m_settings.m_member), removed);
    closeMember();
    Reason reason;
    if (!openMember(now, reason)) {
        fail(reason);
        return;
    }
    FLAMINGO_LOG(Warning, "member removed, rejoining under a new id", { "removed", removed.value() },
        { "member", m_member->id().value() }, { "last_index", lastIndex(m_member->raft().m_log).value() });
}

void ControlRole::logLostVoters()
{
    const std::set<MemberId>& lost = m_member->raft().m_losses.m_lost;
    if (lost == m_loggedLost)
        return;
    m_loggedLost = lost;
    FLAMINGO_LOG(Warning, "control voters with lost data changed", { "lost", joinIds(lost) });
}

void ControlRole::logVoters(MonotonicTime now)
{
    if (m_member->role() != Role::Leader) {
        m_loggedConfiguration = LogIndex();
        return;
    }
    const LogIndex configuration = latestConfigurationIndex(m_member->raft().m_log);
    const VoterResponse response = m_member->voterResponse(now);
    if (configuration == m_loggedConfiguration && response.m_unresponsive == m_loggedUnresponsive)
        return;
    m_loggedConfiguration = configuration;
    m_loggedUnresponsive = response.m_unresponsive;
    FLAMINGO_LOG(Info, "control voters changed", { "voters", response.m_voters }, { "quorum", response.m_quorum },
        { "learners", response.m_learners }, { "unresponsive", joinIds(response.m_unresponsive) },
        { "addresses", joinVoterAddresses(latestConfiguration(m_member->raft().m_log)) });
}

void ControlRole::makeService()
{
    ControlServicePorts ports;
    ports.m_propose = [this](std::string entry) {
        return m_member && m_member->propose(std::move(entry), monotonicNow()).has_value();
    };
    ports.m_readyToServe = [this] { return m_member && m_member->readyToServe(); };
    ports.m_confirmedRoundStart
        = [this] { return m_member ? m_member->confirmedRoundStart() : std::optional<MonotonicTime>(); };
    ports.m_leaderSince = [this] { return m_member ? m_member->leaderSince() : std::optional<MonotonicTime>(); };
    ports.m_leaderAddress = [this] { return m_member ? m_member->leaderAddress() : std::string(); };
    ports.m_controlAddresses = [this] { return m_member ? m_member->memberAddresses() : std::vector<std::string>(); };
    ports.m_send = [this](LinkId link, const std::string& bytes) {
        if (m_server)
            m_server->send(link, bytes);
    };
    ports.m_wallClock = wallClock;
    ports.m_onEndpointsExpired = logExpiredEndpoints;
    ports.m_administer = [this](const AdminRequest& request) { return administer(request); };
    // The proposer number must be unpredictable, and differ between processes and between the services of one process:
    // entries that an earlier service has proposed may still be applied.
    const std::uint64_t proposer = m_settings.m_member.m_seed + m_services++;
    m_service = std::make_unique<ControlService>(std::move(ports), proposer, m_settings.m_service);
}

MemberCallbacks ControlRole::memberCallbacks()
{
    MemberCallbacks callbacks;
    callbacks.m_send = [this](const std::string& address, const std::string& frame) {
        if (!m_stopped)
            m_peers.send(address, frame, monotonicNow());
    };
    callbacks.m_apply = [this](LogIndex, const std::string& bytes) {
        if (!m_service->onApplied(bytes, monotonicNow()))
            fail(m_service->lastReason());
    };
    callbacks.m_takeSnapshot = [this] { return m_service->takeSnapshot(); };
    callbacks.m_restoreSnapshot = [this](LogIndex, const std::string& bytes, Reason& reason) {
        if (m_service->restoreSnapshot(bytes))
            return true;
        reason = m_service->lastReason();
        return false;
    };
    callbacks.m_roleChanged = [this] {
        m_service->onRoleChanged(monotonicNow());
        if (m_member) {
            FLAMINGO_LOG(Info, "control role changed", { "member", m_member->id().value() },
                { "leads", m_member->role() == Role::Leader ? "yes" : "no" },
                { "term", std::to_string(m_member->term().value()) }, { "leader", m_member->leader().value() });
        }
    };
    callbacks.m_scheduleFlush = [this] { scheduleFlush(); };
    callbacks.m_failed = [this](const Reason& reason) { fail(reason); };
    return callbacks;
}

void ControlRole::scheduleFlush()
{
    // Runs after the messages that are already queued, so that one disk sync covers all their proposals.
    boost::asio::post(m_io, [this] {
        if (!m_stopped && m_member)
            m_member->flush(monotonicNow());
    });
}

void ControlRole::tick(MonotonicTime now)
{
    reopenIfFailed(now);
    if (!m_member)
        return;
    m_member->tick(now);
    m_service->tick(now);
    if (m_api)
        m_api->tick(now);
    if (m_member) {
        logLostVoters();
        logVoters(now);
    }
    rejoinIfRemoved(now);
}

void ControlRole::stop()
{
    m_stopped = true;
    m_api.reset();
    if (m_server)
        m_server->stop();
    m_peers.stop();
}

void ControlRole::linkOpened(LinkId link, const std::string& path)
{
    const bool isEntry = path == entryLinkPath;
    m_isEntryLink[link] = isEntry;
    if (isEntry)
        m_service->onLinkOpened(link);
}

void ControlRole::linkMessage(LinkId link, const std::string& message)
{
    const MonotonicTime now = monotonicNow();
    if (!m_member)
        return;
    if (!m_isEntryLink[link]) {
        if (!m_member->receive(message, now)) {
            FLAMINGO_LOG(Warning, "member frame refused", { "reason", m_member->lastReason().m_text });
        }
        return;
    }
    if (!m_service->onMessage(link, message, now)) {
        FLAMINGO_LOG(Warning, "entry link closed", { "reason", m_service->lastReason().m_text });
        m_server->close(link, m_service->lastReason().m_text);
    }
}

void ControlRole::linkClosed(LinkId link)
{
    const auto found = m_isEntryLink.find(link);
    if (found == m_isEntryLink.end())
        return;
    if (found->second)
        m_service->onLinkClosed(link);
    m_isEntryLink.erase(found);
}

void ControlRole::fail(const Reason& reason)
{
    if (reason.m_code == ResultCode::StorageFailed) {
        FLAMINGO_LOG(Error, "log storage failed, reopening scheduled", { "reason", reason.m_text });
        m_reopenAt = monotonicNow() + reopenInterval;
        return;
    }
    FLAMINGO_LOG(Error, "control role stopped", { "code", std::to_string(static_cast<int>(reason.m_code)) },
        { "reason", reason.m_text });
    if (m_onFailure)
        m_onFailure(reason);
}

AdminReply ControlRole::administer(const AdminRequest& request)
{
    return flamingo::administer(*m_member, *m_service, request, monotonicNow());
}

} // namespace flamingo
