#include "daemon/daemon.h"

#include "base/log.h"
#include "consensus/consensusmember.h"
#include "control/controlservice.h"
#include "daemon/refusedanswer.h"

#include <algorithm>
#include <random>

namespace flamingo {

namespace {

constexpr Milliseconds leaveTimeout { 2000 };
// An endpoint that misses this many heartbeats in a row is removed.
constexpr int maxMissedHeartbeats = 4;

std::uint64_t randomNumber()
{
    std::random_device device;
    return (std::uint64_t(device()) << 32U) | device();
}

// Returns the listed members, or else the seeds. A seed has no VM name in the settings, so its IP address is its VM id
// in the log.
std::vector<InitialMember> initialMembers(const Settings& settings)
{
    std::vector<InitialMember> members;
    for (const ControlMember& member : settings.m_control.m_members)
        members.push_back(InitialMember { member.m_vm, member.m_address.text() });
    if (!members.empty())
        return members;
    for (const SocketAddress& seed : settings.m_seeds.m_addresses)
        members.push_back({ VmId(seed.m_ip), SocketAddress { seed.m_ip, settings.m_seeds.m_linkPort }.text() });
    return members;
}

std::string ownControlAddress(const Settings& settings)
{
    for (const ControlMember& member : settings.m_control.m_members) {
        if (member.m_vm == settings.m_vm)
            return member.m_address.text();
    }
    return settings.m_control.m_listen.text();
}

} // namespace

Daemon::Daemon(Settings settings, DaemonProtocols protocols, std::function<void(const Reason&)> onFailure)
    : m_settings(std::move(settings))
    , m_protocols(protocols)
    , m_onFailure(std::move(onFailure))
    , m_incarnation(randomNumber())
{
}

Daemon::~Daemon()
{
    if (m_api)
        m_api->stop();
    if (m_forwardLoop)
        m_forwardLoop->stop();
    m_controlLoop.stop();
    if (m_entryLoop)
        m_entryLoop->stop();
}

bool Daemon::start(Reason& reason)
{
    if (m_settings.m_controlRole && !startControl(reason))
        return false;
    if (!startMetrics(reason))
        return false;
    if (m_settings.m_routesRole)
        return startRoutes(reason);
    if (m_settings.m_entryRole)
        return startEntry(reason);
    m_controlLoop.run();
    return true;
}

bool Daemon::startControl(Reason& reason)
{
    ControlRoleSettings role;
    role.m_listenAddress = m_settings.m_control.m_listen.m_ip;
    role.m_listenPort = m_settings.m_control.m_listen.m_port;
    role.m_member.m_folder = m_settings.m_control.m_dataFolder;
    const bool hasSeeds = m_settings.m_control.m_members.empty();
    role.m_member.m_vm = hasSeeds ? VmId(m_settings.m_control.m_listen.m_ip) : m_settings.m_vm;
    role.m_member.m_openMembership = hasSeeds;
    role.m_member.m_raft.m_toleratedLosses = m_settings.m_control.m_toleratedLosses;
    role.m_member.m_address = ownControlAddress(m_settings);
    role.m_member.m_initialMembers = initialMembers(m_settings);
    // Without a list of members, a control VM that is not a seed joins the cluster formed by the seeds.
    const bool isInitial = std::any_of(role.m_member.m_initialMembers.begin(), role.m_member.m_initialMembers.end(),
        [&](const InitialMember& member) { return member.m_vm == role.m_member.m_vm; });
    role.m_member.m_bootstrapAllowed = m_settings.m_control.m_bootstrap && (isInitial || !hasSeeds);
    role.m_member.m_seed = randomNumber();
    role.m_service.m_endpointTtl = m_settings.m_control.m_endpointHeartbeat * maxMissedHeartbeats;
    role.m_service.m_removalBatchDelay
        = std::min(role.m_service.m_removalBatchDelay, m_settings.m_control.m_endpointHeartbeat);
    role.m_api = m_settings.m_control.m_api;
    role.m_protocol = m_protocols.m_control;
    return m_controlLoop.addControlRole(std::move(role), m_onFailure, reason);
}

ControlClientSettings Daemon::clientSettings(const std::string& callerAddress) const
{
    ControlClientSettings client;
    client.m_vm = m_settings.m_vm;
    client.m_incarnation = Incarnation(m_incarnation);
    client.m_dataCentre = m_settings.m_dataCentre;
    client.m_address = callerAddress;
    for (const SocketAddress& address : m_settings.m_controlAddresses)
        client.m_controlAddresses.push_back(address.text());
    return client;
}

bool Daemon::startRoutes(Reason& reason)
{
    if (m_protocols.m_callers == nullptr) {
        reason = Reason { ResultCode::InvalidSettings,
            "this program does not support the role routes, since it has no HTTP protocol for callers" };
        return false;
    }
    m_controlLoop.addEntryLink(clientSettings(m_settings.m_routes.m_listen.text()),
        [this](std::shared_ptr<const PublishedState> state, const std::vector<Change>* changes) {
            m_forwardLoop->updateState(std::move(state), changes);
        });
    m_forwardLoop = std::make_unique<ForwardLoop>(
        m_settings, *m_protocols.m_callers, m_controlLoop.proxy(), m_metrics.registry());
    if (!m_forwardLoop->start(reason))
        return false;
    m_controlLoop.run();
    return true;
}

bool Daemon::startMetrics(Reason& reason)
{
    if (m_settings.m_metrics.m_port == 0)
        return true;
    const auto text = [this] {
        std::string result;
        if (m_forwardLoop)
            m_forwardLoop->runOnLoop([&] { result = m_metrics.text(); });
        else
            result = m_metrics.text();
        return result;
    };
    return m_controlLoop.addMetrics(m_settings.m_metrics, text, reason);
}

void Daemon::reload(const Settings& settings)
{
    std::vector<std::string> addresses;
    for (const SocketAddress& address : settings.m_controlAddresses)
        addresses.push_back(address.text());
    m_controlLoop.setControlAddresses(std::move(addresses));
}

bool Daemon::startEntry(Reason& reason)
{
    m_controlLoop.addEntryLink(
        clientSettings(SocketAddress { m_settings.m_entry.m_listen, m_settings.m_entry.m_port }.text()),
        [this](std::shared_ptr<const PublishedState> state, const std::vector<Change>* changes) {
            m_entryLoop->updateState(std::move(state), changes);
        });

    EntryLoopSettings loop;
    loop.m_vm = m_settings.m_vm;
    loop.m_incarnation = Incarnation(m_incarnation);
    loop.m_dataCentre = m_settings.m_dataCentre;
    loop.m_maxQueries = m_settings.m_limits.m_queries;
    loop.m_maxRequests = m_settings.m_limits.m_requests;
    for (const auto& [name, weight] : m_settings.m_entry.m_callerClasses)
        loop.m_classWeights[name] = weight;
    m_entryLoop = std::make_unique<EntryLoop>(std::move(loop), m_controlLoop.proxy(), m_metrics);
    m_statements = std::make_unique<StatementExecutor>(*m_entryLoop, m_controlLoop.proxy());
    m_announcer = std::make_unique<Announcer>(*m_entryLoop, m_controlLoop.proxy());

    ApiSettings api;
    api.m_address = m_settings.m_entry.m_listen;
    api.m_port = m_settings.m_entry.m_port;
    api.m_maxBodyBytes = m_settings.m_entry.m_maxBody;
    api.m_maxConnections = m_settings.m_entry.m_maxConnections;
    api.m_stopTimeout = m_settings.m_shutdownGrace;
    m_api = std::make_unique<ApiServer>(std::move(api), handlers());
    m_entryLoop->run();
    m_controlLoop.run();
    return m_api->start(reason);
}

std::optional<Reason> Daemon::refusalWithoutLease() const
{
    if (m_controlLoop.proxy().m_lease->valid(monotonicNow()) && m_entryLoop->state())
        return std::nullopt;
    return Reason { ResultCode::NoLease, "this VM holds no valid lease, so its configuration may be out of date" };
}

ApiHandlers Daemon::handlers()
{
    ApiHandlers handlers;
    handlers.m_query = [this](QueryRequest request) {
        if (const auto refusal = refusalWithoutLease()) {
            m_metrics.recordEarlyRefusal(refusal->m_code);
            return refusedAnswer<QueryAnswer>(request.m_id, *refusal);
        }
        return m_entryLoop->query(std::move(request));
    };
    handlers.m_request = [this](CallerRequest request) {
        if (const auto refusal = refusalWithoutLease()) {
            m_metrics.recordEarlyRefusal(refusal->m_code);
            return refusedAnswer<CallerAnswer>(request.m_id, *refusal);
        }
        return m_entryLoop->request(std::move(request));
    };
    handlers.m_announce = [this](const Announcement& announcement) { return m_announcer->announce(announcement); };
    handlers.m_statement = [this](const StatementRequest& request) { return m_statements->execute(request); };
    handlers.m_commandStatus = [this](const CommandStatusRequest& request) { return m_statements->status(request); };
    handlers.m_health = [this] { return health(); };
    handlers.m_metrics = [this] { return metrics(); };
    return handlers;
}

HealthAnswer Daemon::health() const
{
    if (m_stopping)
        return { false, "shutting down" };
    if (const auto refusal = refusalWithoutLease())
        return { false, refusal->m_text };
    return { true, "serving" };
}

std::string Daemon::metrics()
{
    m_entryLoop->collectMetrics();
    m_controlLoop.withControlRole([this](ControlRole& role) {
        if (role.isOpen())
            m_metrics.recordControl(role.member(), role.service());
    });
    return m_metrics.text();
}

void Daemon::shutDown()
{
    m_stopping = true;
    FLAMINGO_LOG(Info, "graceful shutdown started");
    if (m_api) {
        m_api->beginShutdown();
        if (!m_api->stop())
            FLAMINGO_LOG(Warning, "grace period ended with requests in flight");
        // The lease is ended only now, since requests in flight need it to call endpoints.
        m_controlLoop.leave(leaveTimeout);
    }
    if (m_forwardLoop) {
        m_controlLoop.announceLeave();
        m_forwardLoop->shutDown(m_settings.m_shutdownGrace);
    }
    if (m_settings.m_controlRole && m_protocols.m_control)
        m_controlLoop.stopApi();
    m_controlLoop.stop();
    if (m_forwardLoop)
        m_forwardLoop->stop();
    if (m_entryLoop)
        m_entryLoop->stop();
    FLAMINGO_LOG(Info, "graceful shutdown finished");
}

} // namespace flamingo
