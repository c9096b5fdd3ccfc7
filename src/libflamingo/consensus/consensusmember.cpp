#include "consensus/consensusmember.h"

#include "base/hash.h"
#include "consensus/raftcodec.h"
#include "consensus/raftstep.h"

#include <array>
#include <cstdio>
#include <set>

namespace flamingo {

namespace {

MemberId makeMemberId(const VmId& vm, std::uint64_t seed)
{
    constexpr std::size_t kSize = 17; // 16 hexadecimal digits and the terminating null
    std::array<char, kSize> digits {};
    const auto incarnation = static_cast<unsigned long long>(hashBytes(vm.value(), seed));
    std::snprintf(digits.data(), digits.size(), "%016llx", incarnation);
    return MemberId(vm.value() + "#" + digits.data());
}

bool isIdOf(const MemberId& member, const VmId& vm) { return member.value().rfind(vm.value() + "#", 0) == 0; }

bool isBootstrapOrJoinBody(const RaftBody& body)
{
    return std::holds_alternative<StatusQuery>(body) || std::holds_alternative<StatusAnswer>(body)
        || std::holds_alternative<JoinRequest>(body) || std::holds_alternative<JoinAnswer>(body);
}

} // namespace

MemberSettings rejoinSettings(MemberSettings settings, const MemberId& removed)
{
    settings.m_removedId = removed;
    ++settings.m_seed; // gives another member id
    return settings;
}

ConsensusMember::ConsensusMember(
    MemberSettings settings, MemberCallbacks callbacks, std::unique_ptr<LogStorage> storage)
    : m_settings(std::move(settings))
    , m_callbacks(std::move(callbacks))
    , m_storage(std::move(storage))
{
    m_settings.m_raft.m_removesUnresponsiveVoters = m_settings.m_openMembership;
    m_bootstrap.m_vm = m_settings.m_vm;
    m_bootstrap.m_address = m_settings.m_address;
    m_bootstrap.m_initialMembers = m_settings.m_initialMembers;
    m_bootstrap.m_bootstrapAllowed = m_settings.m_bootstrapAllowed;
}

std::unique_ptr<ConsensusMember> ConsensusMember::open(
    MemberSettings settings, MemberCallbacks callbacks, MonotonicTime now, Reason& reason)
{
    std::set<VmId> names;
    for (const InitialMember& member : settings.m_initialMembers) {
        if (!names.insert(member.m_vm).second) {
            reason = Reason { ResultCode::InvalidSettings,
                "the list of initial members contains VM " + member.m_vm.value() + " more than once" };
            return nullptr;
        }
    }
    if (settings.m_bootstrapAllowed && names.count(settings.m_vm) == 0) {
        reason = Reason { ResultCode::InvalidSettings,
            "bootstrap is allowed, but VM " + settings.m_vm.value() + " is not in the list of initial members" };
        return nullptr;
    }
    auto storage = LogStorage::open(settings.m_folder, settings.m_storageHooks, reason);
    if (!storage)
        return nullptr;
    std::unique_ptr<ConsensusMember> member(
        new ConsensusMember(std::move(settings), std::move(callbacks), std::move(storage)));
    if (member->start(now))
        return member;
    reason = member->m_reason;
    return nullptr;
}

bool ConsensusMember::start(MonotonicTime now)
{
    const bool removed = m_storage->meta() && m_storage->meta()->m_member == m_settings.m_removedId;
    if (!m_storage->meta() || removed) {
        // The id must be durable before any other member learns it, so that no vote is granted under an id that can
        // be lost.
        const Term term = removed ? m_storage->meta()->m_term : Term();
        if (!m_storage->saveMeta({ makeMemberId(m_settings.m_vm, m_settings.m_seed), term, MemberId() }))
            return stop(m_storage->lastReason());
    }
    const LogStorage::Meta meta = *m_storage->meta();
    if (!isIdOf(meta.m_member, m_settings.m_vm)) {
        return refuse(ResultCode::InvalidSettings,
            "the data folder " + m_settings.m_folder + " belongs to member " + meta.m_member.value() + ", not to VM "
                + m_settings.m_vm.value());
    }
    SnapshotInfo info;
    const auto snapshot = m_storage->snapshot();
    if (snapshot) {
        info = snapshot->info();
        const auto bytes = snapshot->read(0, info.m_size, m_reason);
        if (!bytes || !m_callbacks.m_restoreSnapshot(info.m_index, *bytes, m_reason))
            return stop(m_reason);
    }
    m_appliedIndex = info.m_index;
    m_raft = startState(m_settings.m_raft, meta.m_member, meta.m_term, meta.m_votedFor,
        makeLog(std::move(info), m_storage->takeEntries()), m_settings.m_seed, now);
    return true;
}

bool ConsensusMember::stop(Reason reason)
{
    m_failed = true;
    m_proposals.clear();
    m_reason = std::move(reason);
    if (m_callbacks.m_failed)
        m_callbacks.m_failed(m_reason);
    return false;
}

bool ConsensusMember::refuse(ResultCode code, std::string text)
{
    m_reason = Reason { code, std::move(text) };
    return false;
}

bool ConsensusMember::processEvent(const RaftEvent& event, MonotonicTime now)
{
    if (m_failed)
        return false;
    m_executingEffects = true;
    Effects effects = step(m_raft, event, now);
    const bool executed = executeEffects(effects, now);
    m_executingEffects = false;
    if (executed && effects.m_refusal) {
        m_reason = *effects.m_refusal;
        return false;
    }
    return executed;
}

bool ConsensusMember::executeEffects(Effects& effects, MonotonicTime now)
{
    if (effects.m_fault)
        return stop(*effects.m_fault);
    if (!persist(effects))
        return false;
    sendMessages(effects);
    if (m_failed)
        return false;
    applyEntries(effects.m_apply);
    if (!takeSnapshotIfDue(now))
        return false;
    if (effects.m_roleChanged && m_callbacks.m_roleChanged)
        m_callbacks.m_roleChanged();
    return true;
}

bool ConsensusMember::persist(Effects& effects)
{
    if (effects.m_persistTermAndVote && !m_storage->saveMeta({ m_raft.m_self, m_raft.m_term, m_raft.m_votedFor }))
        return stop(m_storage->lastReason());
    if (effects.m_installSnapshot) {
        const SnapshotInfo& info = effects.m_installSnapshot->m_info;
        if (!m_storage->installSnapshot(info, effects.m_installSnapshot->m_bytes))
            return stop(m_storage->lastReason());
        Reason reason;
        if (!m_callbacks.m_restoreSnapshot(info.m_index, effects.m_installSnapshot->m_bytes, reason))
            return stop(reason);
        m_appliedIndex = info.m_index;
    }
    if (effects.m_truncateFrom && !m_storage->truncateFrom(*effects.m_truncateFrom))
        return stop(m_storage->lastReason());
    return m_storage->append(effects.m_append) || stop(m_storage->lastReason());
}

void ConsensusMember::sendMessages(Effects& effects)
{
    for (RaftMessage& message : effects.m_messages) {
        if (auto* chunk = std::get_if<SnapshotChunk>(&message.m_body)) {
            if (!fillChunk(*chunk))
                return;
        }
        message.m_fromAddress = m_settings.m_address;
        const std::string address = addressOf(message.m_to);
        if (!address.empty())
            m_callbacks.m_send(address, encodeRaftMessage(message));
    }
}

bool ConsensusMember::fillChunk(SnapshotChunk& chunk)
{
    const LogIndex index = chunk.m_info.m_index;
    auto& reader = m_outgoingSnapshots[index];
    if (!reader)
        reader = m_storage->snapshot();
    if (!reader || reader->info().m_index != index)
        return stop({ ResultCode::InternalError,
            "the snapshot at index " + std::to_string(index.value()) + " is not available" });
    Reason reason;
    auto bytes = reader->read(chunk.m_offset, chunk.m_length, reason);
    if (!bytes)
        return stop(reason);
    chunk.m_bytes = std::move(*bytes);
    return true;
}

void ConsensusMember::applyEntries(const std::vector<LogEntryPtr>& entries)
{
    for (const LogEntryPtr& entry : entries) {
        m_appliedIndex = entry->m_index;
        if (const auto* bytes = std::get_if<std::string>(&entry->m_body)) {
            m_appliedBytes += bytes->size();
            m_callbacks.m_apply(entry->m_index, *bytes);
        }
    }
}

bool ConsensusMember::takeSnapshotIfDue(MonotonicTime now)
{
    const std::uint64_t entries = m_appliedIndex.value() - m_raft.m_log.m_snapshot.m_index.value();
    const std::uint64_t last = m_raft.m_log.m_snapshot.m_size;
    const bool costAmortised = last <= m_settings.m_smallSnapshotBytes || m_appliedBytes >= last;
    if (entries < m_settings.m_snapshotInterval || (!costAmortised && entries < m_settings.m_maxSnapshotInterval))
        return true;
    m_appliedBytes = 0;
    const std::string bytes = m_callbacks.m_takeSnapshot();
    SnapshotInfo info;
    info.m_index = m_appliedIndex;
    info.m_term = termAt(m_raft.m_log, m_appliedIndex);
    info.m_configuration = configurationAt(m_raft.m_log, m_appliedIndex);
    info.m_size = bytes.size();
    info.m_checksum = hashBytes(bytes);
    // Readers of earlier snapshots stay open until no member receives their snapshot any more.
    std::set<LogIndex> inTransfer;
    for (const auto& [id, progress] : m_raft.m_progress) {
        if (progress.m_snapshotTransfer)
            inTransfer.insert(progress.m_snapshotTransfer->m_info.m_index);
    }
    for (auto it = m_outgoingSnapshots.begin(); it != m_outgoingSnapshots.end();)
        it = inTransfer.count(it->first) ? std::next(it) : m_outgoingSnapshots.erase(it);
    if (!m_storage->saveSnapshot(info, bytes))
        return stop(m_storage->lastReason());
    step(m_raft, SnapshotTakenEvent { std::move(info) }, now);
    return true;
}

void ConsensusMember::tick(MonotonicTime now)
{
    flush(now);
    if (!processEvent(TickEvent {}, now))
        return;
    runBootstrap(now);
    processInvitations(now);
    flush(now);
}

bool ConsensusMember::receive(std::string_view frame, MonotonicTime now)
{
    if (m_failed)
        return false;
    flush(now);
    const auto message = decodeRaftMessage(frame, m_reason);
    if (!message)
        return false;
    const bool handled = dispatch(*message, now);
    flush(now);
    return handled;
}

bool ConsensusMember::dispatch(const RaftMessage& message, MonotonicTime now)
{
    constexpr std::size_t kMaxAddresses = 256; // limits the memory that unknown senders can use
    if (!message.m_fromAddress.empty()
        && (m_addresses.size() < kMaxAddresses || findMember(latestConfiguration(m_raft.m_log), message.m_from)))
        m_addresses[message.m_from] = message.m_fromAddress;
    if (message.m_to != MemberId() && message.m_to != m_raft.m_self) {
        reportLostMember(message, now);
        return true;
    }
    if (!isBootstrapOrJoinBody(message.m_body))
        return processEvent(MessageEvent { message }, now);
    if (std::holds_alternative<StatusQuery>(message.m_body))
        sendBody(message.m_fromAddress, message.m_from, statusOf(m_bootstrap, m_raft, leaderAddress()));
    else if (const auto* status = std::get_if<StatusAnswer>(&message.m_body)) {
        handleStatusAnswer(m_bootstrap, message, *status, now);
        handleInvitedStatus(message, *status, now);
    } else if (const auto* join = std::get_if<JoinRequest>(&message.m_body))
        handleJoin(message, *join, now);
    else if (const auto* answer = std::get_if<JoinAnswer>(&message.m_body))
        handleJoinAnswer(*answer);
    return !m_failed;
}

void ConsensusMember::reportLostMember(const RaftMessage& message, MonotonicTime now)
{
    constexpr Milliseconds kInterval { 500 };
    constexpr std::size_t kMaxReceivers = 64; // limits the memory that unknown senders can use
    if (!isIdOf(message.m_to, m_settings.m_vm))
        return;
    if (m_nextLossReport.size() >= kMaxReceivers)
        m_nextLossReport.clear();
    MonotonicTime& next = m_nextLossReport[message.m_fromAddress];
    if (now < next)
        return;
    next = now + kInterval;
    sendBody(message.m_fromAddress, message.m_from, JoinRequest { m_settings.m_vm, message.m_to });
}

std::optional<LogIndex> ConsensusMember::propose(std::string entry, MonotonicTime now)
{
    if (m_failed)
        return std::nullopt;
    if (m_raft.m_role != Role::Leader) {
        refuse(ResultCode::NotLeader, "this member is not the leader of the replicated log");
        return std::nullopt;
    }
    if (entry.size() > m_settings.m_maxEntryBytes) {
        refuse(ResultCode::BodyTooLarge,
            "the entry has " + std::to_string(entry.size()) + " bytes; the maximum number of bytes is "
                + std::to_string(m_settings.m_maxEntryBytes));
        return std::nullopt;
    }
    const std::uint64_t uncommitted = lastIndex(m_raft.m_log) - m_raft.m_commitIndex + m_proposals.size();
    if (uncommitted >= m_settings.m_maxUncommittedEntries) {
        refuse(ResultCode::Overloaded, std::to_string(uncommitted) + " entries are not committed yet; try again later");
        return std::nullopt;
    }
    m_proposals.push_back(std::move(entry));
    const LogIndex index = lastIndex(m_raft.m_log) + m_proposals.size();
    if (m_callbacks.m_scheduleFlush) {
        if (m_proposals.size() == 1)
            m_callbacks.m_scheduleFlush();
    } else if (!m_executingEffects)
        flush(now);
    if (m_failed)
        return std::nullopt;
    return index;
}

void ConsensusMember::flush(MonotonicTime now)
{
    while (!m_proposals.empty() && !m_executingEffects && !m_failed) {
        ProposalEvent event { std::move(m_proposals) };
        m_proposals.clear();
        processEvent(event, now);
    }
}

bool ConsensusMember::promote(const MemberId& member, MonotonicTime now)
{
    flush(now);
    return processEvent(PromoteEvent { member }, now);
}

bool ConsensusMember::removeMember(const MemberId& member, MonotonicTime now)
{
    flush(now);
    return processEvent(RemoveMemberEvent { member }, now);
}

MemberId ConsensusMember::leader() const { return m_failed ? MemberId() : m_raft.m_leader; }

std::string ConsensusMember::leaderAddress() const
{
    const MemberId id = leader();
    return id == MemberId() ? std::string() : addressOf(id);
}

std::string ConsensusMember::addressOf(const MemberId& member) const
{
    if (member == m_raft.m_self)
        return m_settings.m_address;
    // The address that the member itself reported is newer than the one in the log.
    const auto reported = m_addresses.find(member);
    if (reported != m_addresses.end())
        return reported->second;
    const auto& configurations = m_raft.m_log.m_configurations;
    for (auto it = configurations.rbegin(); it != configurations.rend(); ++it) {
        if (const MemberRecord* record = findMember(it->second, member))
            return record->m_address;
    }
    return std::string();
}

std::optional<MonotonicTime> ConsensusMember::confirmedRoundStart() const
{
    return role() == Role::Leader ? m_raft.m_confirmedRoundStart : std::nullopt;
}

std::optional<MonotonicTime> ConsensusMember::leaderSince() const
{
    return role() == Role::Leader ? std::optional<MonotonicTime>(m_raft.m_leaderSince) : std::nullopt;
}

bool ConsensusMember::readyToServe() const
{
    return role() == Role::Leader && m_appliedIndex >= m_raft.m_termStartIndex;
}

std::vector<std::string> ConsensusMember::memberAddresses() const
{
    std::vector<std::string> addresses;
    for (const MemberRecord& member : latestConfiguration(m_raft.m_log).m_members)
        addresses.push_back(member.m_address);
    return addresses;
}

std::vector<MemberView> ConsensusMember::members(MonotonicTime now) const
{
    std::vector<MemberView> views;
    const LogIndex last = lastIndex(m_raft.m_log);
    for (const MemberRecord& member : latestConfiguration(m_raft.m_log).m_members) {
        MemberView view;
        view.m_member = member;
        view.m_leader = member.m_id == leader();
        view.m_self = member.m_id == m_raft.m_self;
        if (view.m_self) {
            view.m_matchIndex = last;
            if (view.m_leader)
                view.m_lag = 0;
        }
        const auto found = m_raft.m_progress.find(member.m_id);
        if (found != m_raft.m_progress.end()) {
            const MemberProgress& progress = found->second;
            view.m_matchIndex = progress.m_matchIndex;
            view.m_lag = last - progress.m_matchIndex;
            if (progress.m_lastHeard)
                view.m_timeSinceAnswer = std::chrono::duration_cast<Milliseconds>(now - *progress.m_lastHeard);
            view.m_receivingSnapshot = progress.m_snapshotTransfer.has_value();
        }
        views.push_back(std::move(view));
    }
    return views;
}

} // namespace flamingo
