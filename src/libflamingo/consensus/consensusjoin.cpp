#include "consensus/consensusmember.h"

#include "consensus/raftcodec.h"

#include <algorithm>

namespace flamingo {

namespace {

constexpr Milliseconds kInvitationLifetime { 60'000 };
constexpr Milliseconds kInvitationInterval { 500 };

bool hasVm(const Configuration& configuration, const VmId& vm)
{
    return std::any_of(configuration.m_members.begin(), configuration.m_members.end(),
        [&](const MemberRecord& member) { return member.m_vm == vm; });
}

} // namespace

void ConsensusMember::sendBody(const std::string& address, const MemberId& to, RaftBody body)
{
    if (m_failed || address.empty())
        return;
    RaftMessage message;
    message.m_from = m_raft.m_self;
    message.m_fromAddress = m_settings.m_address;
    message.m_to = to;
    message.m_term = m_raft.m_term;
    message.m_body = std::move(body);
    m_callbacks.m_send(address, encodeRaftMessage(message));
}

void ConsensusMember::runBootstrap(MonotonicTime now)
{
    BootstrapEffects effects = stepBootstrap(m_bootstrap, m_raft, now);
    if (effects.m_initialConfiguration
        && !processEvent(FormClusterEvent { std::move(*effects.m_initialConfiguration) }, now))
        return;
    for (auto& [address, body] : effects.m_messages)
        sendBody(address, MemberId(), std::move(body));
}

void ConsensusMember::handleJoin(const RaftMessage& message, const JoinRequest& request, MonotonicTime now)
{
    if (request.m_lostMember != MemberId())
        processEvent(VoterLostEvent { request.m_lostMember }, now);
    JoinAnswer answer;
    answer.m_leaderAddress = leaderAddress();
    const Configuration& configuration = latestConfiguration(m_raft.m_log);
    if (role() != Role::Leader)
        answer.m_text = "this member is not the leader of the replicated log";
    else if (const MemberRecord* member = findMember(configuration, message.m_from)) {
        answer.m_accepted = true;
        if (member->m_address != message.m_fromAddress)
            answer.m_accepted = processEvent(ChangeAddressEvent { message.m_from, message.m_fromAddress }, now);
    } else if (wasRemoved(configuration, message.m_from)) {
        // The member deletes its data. A removal that is not committed may still be undone by another leader.
        answer.m_removed = wasRemoved(configurationAt(m_raft.m_log, m_raft.m_commitIndex), message.m_from);
        answer.m_text = "this member was removed from the cluster; its VM can rejoin with an empty data folder";
    } else if (m_settings.m_openMembership || hasVm(configuration, request.m_vm) || m_invitations.count(request.m_vm)) {
        const MemberRecord record { message.m_from, request.m_vm, message.m_fromAddress, false };
        answer.m_accepted = processEvent(AddLearnerEvent { record }, now);
        if (!answer.m_accepted)
            answer.m_text = m_reason.m_text;
        else
            m_invitations.erase(request.m_vm);
    } else
        answer.m_text
            = "VM " + request.m_vm.value() + " is not a member of the cluster; an operator has to add it first";
    sendBody(message.m_fromAddress, message.m_from, answer);
}

void ConsensusMember::handleJoinAnswer(const JoinAnswer& answer)
{
    // The leader knows that this id was removed, so this member must not ask to join or start an election again.
    if (answer.m_removed)
        m_raft.m_removed = true;
    m_bootstrap.m_joinRefusal = answer.m_accepted ? std::string() : answer.m_text;
    if (!answer.m_leaderAddress.empty())
        m_bootstrap.m_leaderAddress = answer.m_leaderAddress;
}

bool ConsensusMember::addLearner(const VmId& vm, const std::string& address, MonotonicTime now)
{
    if (m_failed)
        return false;
    if (role() != Role::Leader)
        return refuse(ResultCode::NotLeader, "this member is not the leader of the replicated log");
    if (address.empty() || vm == VmId())
        return refuse(ResultCode::InvalidField, "the VM name or the address of the new member is empty");
    for (const MemberRecord& member : latestConfiguration(m_raft.m_log).m_members) {
        if (member.m_address == address && member.m_vm != vm) {
            return refuse(
                ResultCode::AlreadyExists, "address " + address + " is in use by member " + member.m_id.value());
        }
        if (member.m_vm == vm && member.m_voter) {
            return refuse(ResultCode::AlreadyExists,
                "VM " + vm.value() + " is already a voter; if it lost its data folder, it rejoins without being added");
        }
    }
    m_invitations[vm] = Invitation { address, now + kInvitationLifetime, now };
    processInvitations(now);
    return true;
}

void ConsensusMember::processInvitations(MonotonicTime now)
{
    if (role() != Role::Leader) {
        m_invitations.clear();
        return;
    }
    for (auto it = m_invitations.begin(); it != m_invitations.end();) {
        Invitation& invitation = it->second;
        if (now >= invitation.m_expiry) {
            it = m_invitations.erase(it);
            continue;
        }
        if (now >= invitation.m_nextQuery) {
            invitation.m_nextQuery = now + kInvitationInterval;
            sendBody(invitation.m_address, MemberId(), StatusQuery {});
        }
        ++it;
    }
}

void ConsensusMember::handleInvitedStatus(const RaftMessage& message, const StatusAnswer& answer, MonotonicTime now)
{
    const auto found = m_invitations.find(answer.m_vm);
    if (role() != Role::Leader || found == m_invitations.end() || !answer.m_fresh)
        return;
    const MemberRecord record { message.m_from, answer.m_vm, found->second.m_address, false };
    if (findMember(latestConfiguration(m_raft.m_log), record.m_id) || processEvent(AddLearnerEvent { record }, now))
        m_invitations.erase(answer.m_vm);
}

} // namespace flamingo
