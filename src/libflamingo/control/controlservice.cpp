#include "control/controlservice.h"

#include "control/apply.h"
#include "control/codec.h"
#include "control/digest.h"
#include "control/endpointcommands.h"

#include <algorithm>

namespace flamingo {

ControlService::ControlService(ControlServicePorts ports, std::uint64_t proposer, ControlServiceSettings settings)
    : m_ports(std::move(ports))
    , m_proposer(proposer)
    , m_settings(settings)
{
    rebuildIndexes(m_state);
    m_history.reset(m_state.m_published);
}

// --- Role.

void ControlService::onRoleChanged(MonotonicTime now) { refreshRole(now); }

void ControlService::refreshRole(MonotonicTime now)
{
    const std::optional<MonotonicTime> since = m_ports.m_leaderSince();
    if (since != m_leaderSince) {
        loseLeadership();
        m_leaderSince = since;
    }
    const bool ready = since && m_ports.m_readyToServe();
    const bool becomesReady = ready && !m_ready;
    // Set before the call, because a proposal may be applied, and the role refreshed again, before it returns.
    m_ready = ready;
    if (becomesReady)
        becomeReady(now);
}

void ControlService::becomeReady(MonotonicTime now)
{
    // Earlier leaders may have reported any revision up to the current one as in force.
    m_leases = LeaseTable {};
    m_leases.m_floor = m_state.m_published.m_revision;
    m_lagFloor = Revision();
    m_lagSamples.clear();
    m_requestedRevision = m_state.m_published.m_revision;
    m_vmLastHeard.clear();
    m_endpointLastHeard.clear();
    m_silenceCountedFrom = now;
    m_lastTick = now;
    m_nextExpiry = now;
    for (const auto& [link, session] : m_sessions) {
        if (session.m_hello)
            proposeAdmissionIfNeeded(session, now);
    }
}

void ControlService::loseLeadership()
{
    const bool wasLeader = m_leaderSince.has_value();
    m_ready = false;
    m_leases = LeaseTable {};
    // The next leader may still commit the entries. Entry VMs resend their commands to it, and a command is applied
    // once even if it is proposed several times.
    const auto pending = std::move(m_pending);
    m_pending.clear();
    m_internalProposals.clear();
    m_endpointCommands.clear();
    m_endpointsInFlight.clear();
    CommandResult unknown;
    unknown.m_code = ResultCode::CommandOutcomeUnknown;
    unknown.m_text = "this VM stopped being the leader before the command was applied";
    for (const auto& [number, command] : pending) {
        if (command.m_handler)
            command.m_handler(unknown);
    }
    const auto reads = std::move(m_reads);
    m_reads.clear();
    for (const PendingRead& read : reads)
        read.m_handler(false);
    if (!wasLeader)
        return;
    for (const auto& [link, session] : m_sessions)
        sendNotLeader(link, 0);
}

// --- Links.

void ControlService::onLinkOpened(LinkId link) { m_sessions[link] = Session {}; }

void ControlService::onLinkClosed(LinkId link) { m_sessions.erase(link); }

bool ControlService::onMessage(LinkId link, std::string_view bytes, MonotonicTime now)
{
    refreshRole(now);
    const auto session = m_sessions.find(link);
    if (session == m_sessions.end()) {
        m_reason = Reason { ResultCode::InternalError, "message on an unknown link" };
        return false;
    }
    const auto message = decodeMessage(bytes, m_reason);
    if (!message)
        return false;
    return std::visit([&](const auto& fields) { return handle(link, session->second, fields, now); }, *message);
}

bool ControlService::refuseMessage()
{
    m_reason = Reason { ResultCode::MalformedBody, "a message of this type is not for a control VM" };
    return false;
}

void ControlService::send(LinkId link, const ControlMessage& message) { m_ports.m_send(link, encodeMessage(message)); }

void ControlService::sendNotLeader(LinkId link, std::uint64_t sequence)
{
    send(link, NotLeader { m_ports.m_leaderAddress(), sequence });
}

void ControlService::sendAddresses(LinkId link, Session& session, const std::vector<std::string>& addresses)
{
    if (!session.m_hello || addresses.empty() || session.m_addresses == addresses)
        return;
    session.m_addresses = addresses;
    send(link, ControlAddresses { addresses });
}

bool ControlService::handle(LinkId link, Session& session, const Hello& hello, MonotonicTime now)
{
    if (session.m_hello
        && (session.m_hello->m_vm != hello.m_vm || session.m_hello->m_incarnation != hello.m_incarnation)) {
        m_reason = Reason { ResultCode::InvalidField, "a link belongs to one process of one VM" };
        return false;
    }
    session.m_hello = hello;
    session.m_base = hello.m_appliedRevision;
    session.m_baseDigest = hello.m_appliedDigest;
    session.m_inFlight.reset();
    sendAddresses(link, session, m_ports.m_controlAddresses());
    if (!isLeader())
        sendNotLeader(link, 0);
    if (!m_ready)
        return true;
    m_vmLastHeard[{ hello.m_vm, hello.m_incarnation }] = now;
    proposeAdmissionIfNeeded(session, now);
    pushState(link, session);
    return true;
}

bool ControlService::handle(LinkId link, Session& session, const Renew& renew, MonotonicTime now)
{
    if (!session.m_hello) {
        m_reason = Reason { ResultCode::MalformedBody, "a renewal needs a hello before it" };
        return false;
    }
    if (!isLeader()) {
        sendNotLeader(link, 0);
        return true;
    }
    if (!m_ready) {
        send(link, Grant { renew.m_sequence, Milliseconds(0), false, m_state.m_logTime });
        return true;
    }
    ++m_counters.m_renewals;
    recordRenewals(session, renew, now);
    const VmProcess process { session.m_hello->m_vm, session.m_hello->m_incarnation };
    if (session.m_inFlight && renew.m_appliedRevision >= *session.m_inFlight) {
        session.m_inFlight.reset();
        session.m_base = renew.m_appliedRevision;
        session.m_baseDigest = m_history.digestAt(renew.m_appliedRevision).value_or(0);
    }
    if (renew.m_leaving) {
        endLease(m_leases, process.first, process.second);
        proposeInternal("depart " + process.first.value(), DepartVm { process.first, process.second }, now);
        send(link, Grant { renew.m_sequence, Milliseconds(0), false, m_state.m_logTime });
        return true;
    }
    confirmRevision(m_leases, process.first, process.second, renew.m_appliedRevision, now);
    grant(link, session, renew, now);
    return true;
}

void ControlService::recordRenewals(const Session& session, const Renew& renew, MonotonicTime now)
{
    m_counters.m_endpointRenewals += renew.m_endpointRenewals.size();
    for (const EndpointId& endpoint : renew.m_endpointRenewals) {
        if (m_state.m_published.m_endpoints.count(endpoint) > 0)
            m_endpointLastHeard[endpoint] = now;
    }
    m_vmLastHeard[{ session.m_hello->m_vm, session.m_hello->m_incarnation }] = now;
}

bool ControlService::hasSession(const VmProcess& process) const
{
    return std::any_of(m_sessions.begin(), m_sessions.end(), [&process](const auto& entry) {
        const auto& hello = entry.second.m_hello;
        return hello && hello->m_vm == process.first && hello->m_incarnation == process.second;
    });
}

void ControlService::proposeAdmissionIfNeeded(const Session& session, MonotonicTime now)
{
    const Hello& hello = *session.m_hello;
    const auto& vms = m_state.m_published.m_vms;
    const auto record = vms.find(hello.m_vm);
    if (record != vms.end() && !record->second.m_departed) {
        if (record->second.m_incarnation == hello.m_incarnation)
            return;
        // If two processes use the same VM id, the admitted one stays admitted while it is connected.
        if (hasSession({ hello.m_vm, record->second.m_incarnation }))
            return;
    }
    VmRecord vm;
    vm.m_id = hello.m_vm;
    vm.m_incarnation = hello.m_incarnation;
    vm.m_dataCentre = hello.m_dataCentre;
    vm.m_address = hello.m_address;
    proposeInternal("admit " + hello.m_vm.value(), AdmitVm { std::move(vm) }, now);
}

// Answers every renewal, so that the VM can distinguish a refused lease from a link without answers.
void ControlService::grant(LinkId link, const Session& session, const Renew& renew, MonotonicTime now)
{
    Grant answer { renew.m_sequence, Milliseconds(0), false, m_state.m_logTime };
    const auto end = leaseEnd(session, renew.m_appliedRevision, now);
    if (end) {
        const Hello& hello = *session.m_hello;
        const Revision admittedIn = m_state.m_published.m_vms.at(hello.m_vm).m_admittedIn;
        if (grantLease(m_leases, hello.m_vm, hello.m_incarnation, renew.m_appliedRevision, *end)) {
            ++m_counters.m_grants;
            m_requestedRevision = std::max(m_requestedRevision, admittedIn);
            // Rounded down, so that the lease does not last longer for its holder than in the lease table.
            answer.m_remaining = std::chrono::duration_cast<Milliseconds>(*end - now);
            answer.m_admitted = isInForce(admittedIn, now);
        } else {
            ++m_counters.m_withheldBehind;
        }
    }
    send(link, answer);
}

std::optional<MonotonicTime> ControlService::leaseEnd(const Session& session, Revision applied, MonotonicTime now)
{
    const Hello& hello = *session.m_hello;
    const auto& vms = m_state.m_published.m_vms;
    const auto record = vms.find(hello.m_vm);
    if (record == vms.end() || record->second.m_departed || record->second.m_incarnation != hello.m_incarnation) {
        ++m_counters.m_withheldNotAdmitted;
        proposeAdmissionIfNeeded(session, now);
        return std::nullopt;
    }
    if (applied < record->second.m_admittedIn) {
        ++m_counters.m_withheldNotAdmitted;
        return std::nullopt;
    }
    if (applied < m_lagFloor || applied > m_state.m_published.m_revision) {
        ++m_counters.m_withheldBehind;
        return std::nullopt;
    }
    const std::optional<MonotonicTime> round = m_ports.m_confirmedRoundStart();
    if (!round || *round + leasePeriod <= now) {
        ++m_counters.m_withheldNoRound;
        return std::nullopt;
    }
    return *round + leasePeriod;
}

// --- Commands.

std::optional<Reason> ControlService::checkCommand(const Session& session, const Command& command) const
{
    const CommandBody& body = command.m_body;
    if (std::holds_alternative<AdmitVm>(body) || std::holds_alternative<DepartVm>(body)
        || std::holds_alternative<RemoveVm>(body) || std::holds_alternative<AdvanceTime>(body))
        return Reason { ResultCode::InvalidField, "only the leader may propose this command" };
    const auto isOwn = [&session](const auto& claim) {
        return session.m_hello && claim.m_vm == session.m_hello->m_vm
            && claim.m_vmIncarnation == session.m_hello->m_incarnation;
    };
    const auto* open = std::get_if<OpenClaim>(&body);
    const auto* settle = std::get_if<SettleClaim>(&body);
    if ((open != nullptr && !isOwn(*open)) || (settle != nullptr && !isOwn(*settle)))
        return Reason { ResultCode::InvalidField, "a VM may only open and settle its own claims" };
    if (m_pending.size() >= maxPendingCommands)
        return Reason { ResultCode::Overloaded, "too many commands are waiting at the leader" };
    return std::nullopt;
}

bool ControlService::handle(LinkId link, Session& session, const CommandRequest& request, MonotonicTime now)
{
    ++m_counters.m_commands;
    if (!isLeader()) {
        ++m_counters.m_commandsRefused;
        sendNotLeader(link, request.m_sequence);
        return true;
    }
    if (const auto refused = checkCommand(session, request.m_command)) {
        ++m_counters.m_commandsRefused;
        CommandResult result;
        result.m_code = refused->m_code;
        result.m_text = refused->m_text;
        result.m_revision = m_state.m_published.m_revision;
        result.m_version = m_state.m_published.m_configurationVersion;
        send(link, CommandReply { request.m_sequence, result });
        return true;
    }
    Command command = request.m_command;
    const std::uint64_t number = ++m_lastNumber;
    if (auto departure = departureInPlaceOf(m_state, command))
        command.m_body = std::move(*departure);
    else if (auto departures = departuresBefore(m_state, command))
        proposeInternal("departures before command " + std::to_string(number), std::move(*departures), now);
    m_pending[number] = PendingCommand { link, request.m_sequence, nullptr };
    if (!proposeCommand(std::move(command), number)) {
        ++m_counters.m_commandsRefused;
        m_pending.erase(number);
        sendNotLeader(link, request.m_sequence);
    }
    return true;
}

void ControlService::submit(Command command, std::function<void(const CommandResult&)> handler)
{
    ++m_counters.m_commands;
    CommandResult refused;
    refused.m_code = ResultCode::NotLeader;
    refused.m_text = "this VM is not the leader";
    if (!isLeader() || m_pending.size() >= maxPendingCommands) {
        ++m_counters.m_commandsRefused;
        handler(refused);
        return;
    }
    const std::uint64_t number = ++m_lastNumber;
    m_pending[number] = PendingCommand { LinkId(), 0, std::move(handler) };
    if (proposeCommand(std::move(command), number))
        return;
    ++m_counters.m_commandsRefused;
    const auto pending = m_pending.extract(number);
    if (!pending.empty())
        pending.mapped().m_handler(refused);
}

void ControlService::confirmRead(std::function<void(bool)> handler, MonotonicTime now)
{
    refreshRole(now);
    if (!m_ready) {
        handler(false);
        return;
    }
    m_reads.push_back(PendingRead { now, std::move(handler) });
}

void ControlService::recordEndpointRenewal(const EndpointId& endpoint, MonotonicTime now)
{
    ++m_counters.m_endpointRenewals;
    if (m_state.m_published.m_endpoints.count(endpoint) > 0)
        m_endpointLastHeard[endpoint] = now;
}

bool ControlService::hasEndpointCommandInFlight(const EndpointId& endpoint) const
{
    return m_endpointsInFlight.count(endpoint) > 0;
}

bool ControlService::proposeCommand(Command command, std::uint64_t number)
{
    // Recorded before the call, because a log with one member may apply the entry before it returns.
    std::vector<EndpointId> endpoints = endpointsOf(command.m_body);
    for (const EndpointId& endpoint : endpoints)
        ++m_endpointsInFlight[endpoint];
    if (!endpoints.empty())
        m_endpointCommands.emplace(number, std::move(endpoints));
    command.m_proposedAt = m_ports.m_wallClock();
    if (m_ports.m_propose(encodeProposedCommand(ProposedCommand { m_proposer, number, std::move(command) })))
        return true;
    forgetEndpointCommand(number);
    return false;
}

void ControlService::forgetEndpointCommand(std::uint64_t number)
{
    const auto command = m_endpointCommands.extract(number);
    if (command.empty())
        return;
    for (const EndpointId& endpoint : command.mapped()) {
        const auto inFlight = m_endpointsInFlight.find(endpoint);
        if (inFlight != m_endpointsInFlight.end() && --inFlight->second == 0)
            m_endpointsInFlight.erase(inFlight);
    }
}

bool ControlService::proposeInternal(const std::string& key, CommandBody body, MonotonicTime now)
{
    const auto earlier = m_internalProposals.find(key);
    if (earlier != m_internalProposals.end() && now < earlier->second.second + proposalRetryInterval)
        return false;
    const std::uint64_t number = ++m_lastNumber;
    Command command;
    command.m_body = std::move(body);
    // Recorded before the call, because a log with one member may apply the entry before it returns.
    m_internalProposals[key] = { number, now };
    if (proposeCommand(std::move(command), number))
        return true;
    m_internalProposals.erase(key);
    return false;
}

bool ControlService::handle(LinkId link, Session&, const StatusRequest& request, MonotonicTime now)
{
    if (!isLeader()) {
        sendNotLeader(link, request.m_sequence);
        return true;
    }
    const bool inForce = checkInForce(request.m_revision, now);
    const HolderCount holders = countHolders(m_leases, request.m_revision, now);
    send(link, StatusReply { request.m_sequence, holders.m_confirmed, holders.m_total, inForce });
    return true;
}

bool ControlService::handle(LinkId link, Session&, const AdminRequest& request, MonotonicTime)
{
    if (!m_ready) {
        sendNotLeader(link, request.m_sequence);
        return true;
    }
    AdminReply reply { request.m_sequence, ResultCode::InternalError, "administration requests are not available",
        "[]" };
    if (m_ports.m_administer)
        reply = m_ports.m_administer(request);
    reply.m_sequence = request.m_sequence;
    send(link, reply);
    return true;
}

bool ControlService::checkInForce(Revision revision, MonotonicTime now)
{
    if (!m_ready || revision > m_state.m_published.m_revision)
        return false;
    if (revision > m_leases.m_floor) {
        m_requestedRevision = std::max(m_requestedRevision, revision);
        raiseFloor(m_leases, m_requestedRevision, now);
    }
    return isInForce(revision, now);
}

bool ControlService::isInForce(Revision revision, MonotonicTime now) const
{
    // Leases granted by an earlier leader are not in the table and may be valid for up to one lease period.
    return m_ready && m_leaderSince && now >= *m_leaderSince + leasePeriod && revision <= m_leases.m_floor;
}

// --- The replicated log.

bool ControlService::onApplied(std::string_view entry, MonotonicTime now)
{
    const auto proposed = decodeProposedCommand(entry, m_reason);
    if (!proposed)
        return false;
    const Revision before = m_state.m_published.m_revision;
    const CommandResult result = apply(m_state, proposed->m_command, m_changes);
    ++m_counters.m_applied;
    m_lastApplied = now;
    updateEndpointsLastHeard(m_changes, now);
    if (m_state.m_published.m_revision != before) {
        m_history.push(m_state.m_published, std::move(m_changes));
        m_encodedDeltas.clear();
    }
    m_changes.clear();
    if (proposed->m_proposer == m_proposer) {
        refreshRole(now);
        replyToPending(proposed->m_number, result);
    }
    return true;
}

void ControlService::updateEndpointsLastHeard(const std::vector<Change>& changes, MonotonicTime now)
{
    for (const Change& change : changes) {
        if (const auto* endpoint = std::get_if<EndpointRecord>(&change))
            m_endpointLastHeard[endpoint->m_id] = now;
        else if (const auto* erased = std::get_if<ErasedEndpoint>(&change))
            m_endpointLastHeard.erase(erased->m_endpoint);
    }
}

void ControlService::replyToPending(std::uint64_t number, const CommandResult& result)
{
    forgetEndpointCommand(number);
    for (auto own = m_internalProposals.begin(); own != m_internalProposals.end(); ++own) {
        if (own->second.first == number) {
            m_internalProposals.erase(own);
            return;
        }
    }
    const auto pending = m_pending.find(number);
    if (pending == m_pending.end())
        return;
    const PendingCommand command = pending->second;
    m_pending.erase(pending);
    if (command.m_handler)
        command.m_handler(result);
    else if (m_sessions.count(command.m_link) > 0)
        send(command.m_link, CommandReply { command.m_sequence, result });
}

std::string ControlService::takeSnapshot() const { return encodeControlState(m_state); }

bool ControlService::restoreSnapshot(std::string_view bytes)
{
    auto state = decodeControlState(bytes, m_reason);
    if (!state)
        return false;
    m_state = std::move(*state);
    m_history.reset(m_state.m_published);
    m_encodedDeltas.clear();
    m_encodedCopy.reset();
    return true;
}

} // namespace flamingo
