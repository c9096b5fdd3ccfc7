#include "consensus/raftinternal.h"
#include "consensus/voterchange.h"

namespace flamingo::detail {

// Replacement of a voter that restarted with an empty data folder.
//
// The restarted process has a new member id N. Its previous id O remains a voter that can never answer again, because
// N drops messages to O, and O's votes and acknowledgements were lost with its disk. The leader adds N as a learner,
// waits until N has caught up, removes O, and only then promotes N. Each of these changes is one committed entry that
// changes at most one voter. The majorities before and after it therefore always share a voter that has lost no data,
// whether or not O can still answer.
//
// O is removed before N is promoted. With three voters A, C and O, the cluster depends on A and C until O is removed,
// whatever the order. If N were promoted first, there would be four voters, of which three are needed. If N's VM or any
// other VM were lost at that point, the two remaining voters could not commit the removal of O or any other change. If
// O is removed first, the voters are {A, C}, which tolerates no fewer failures than before, and then {A, C, N}, which
// tolerates the loss of any one voter. If the number of losses to survive is known, one change does both, with a quorum
// of the voters before it as well (raftquorum.cpp). The exception, when another vote is owed already, is in
// voterchange.cpp.
//
// No committed entry is lost. An entry committed by A and O alone is in the leader's log, because without O's vote only
// A or a member that copied the entry from A can win an election. The entry that removes O is committed by both A and
// C, so both have it before N's vote counts.

namespace {

Reason refusal(ResultCode code, std::string text) { return Reason { code, std::move(text) }; }

bool hasActiveQuorum(const RaftState& state, const Configuration& configuration, MonotonicTime now)
{
    return isQuorum(configuration, state.m_losses, [&](const MemberId& id) { return isActive(state, id, now); });
}

/** Returns why no membership change may start now, or nothing if one may. */
std::optional<Reason> changeRefusal(const RaftState& state)
{
    if (state.m_role != Role::Leader)
        return refusal(ResultCode::NotLeader, "this member is not the leader of the replicated log");
    if (latestConfigurationIndex(state.m_log) > state.m_commitIndex)
        return refusal(ResultCode::NotReady, "an earlier membership change is not committed yet");
    // Until a leader has committed an entry of its own term, it may not know of an earlier committed change.
    if (state.m_commitIndex < state.m_termStartIndex)
        return refusal(ResultCode::NotReady, "the leader has not committed an entry of its own term yet");
    return std::nullopt;
}

void changeConfiguration(RaftState& state, Configuration configuration, MonotonicTime now, Effects& effects)
{
    appendOwn(state, std::move(configuration), effects);
    syncProgress(state);
    replicateToAll(state, effects);
    advanceCommit(state, now, effects);
}

void addLearner(RaftState& state, const AddLearnerEvent& event, MonotonicTime now, Effects& effects)
{
    const Configuration& configuration = latestConfiguration(state.m_log);
    const MemberRecord& learner = event.m_member;
    if (findMember(configuration, learner.m_id)) {
        effects.m_refusal = refusal(ResultCode::AlreadyExists, learner.m_id.value() + " is already a member");
        return;
    }
    if (wasRemoved(configuration, learner.m_id)) {
        effects.m_refusal = refusal(ResultCode::AlreadyExists,
            learner.m_id.value()
                + " was removed from the cluster; the VM can rejoin with an empty data folder and a new member id");
        return;
    }
    for (const MemberRecord& member : configuration.m_members) {
        if (member.m_vm == learner.m_vm && isActive(state, member.m_id, now)) {
            effects.m_refusal = refusal(ResultCode::AlreadyExists,
                "VM name " + learner.m_vm.value() + " is in use by the running member " + member.m_id.value());
            return;
        }
    }
    changeConfiguration(state, withLearner(configuration, learner), now, effects);
}

void promote(RaftState& state, const MemberId& id, MonotonicTime now, Effects& effects)
{
    const Configuration& configuration = latestConfiguration(state.m_log);
    const MemberRecord* member = findMember(configuration, id);
    if (!member) {
        effects.m_refusal = refusal(ResultCode::UnknownName, id.value() + " is not a member");
        return;
    }
    if (member->m_voter) {
        effects.m_refusal = refusal(ResultCode::AlreadyExists, id.value() + " is already a voter");
        return;
    }
    if (!isCaughtUp(state, id, now)) {
        effects.m_refusal = refusal(ResultCode::NotReady, id.value() + " has not caught up with the log yet");
        return;
    }
    Configuration next = withVoter(configuration, id);
    if (!hasActiveQuorum(state, next, now)) {
        effects.m_refusal = refusal(ResultCode::NotReady, "too few voters respond to add another one");
        return;
    }
    changeConfiguration(state, std::move(next), now, effects);
}

void removeMember(RaftState& state, const MemberId& id, MonotonicTime now, Effects& effects)
{
    const Configuration& configuration = latestConfiguration(state.m_log);
    if (!findMember(configuration, id)) {
        effects.m_refusal = refusal(ResultCode::UnknownName, id.value() + " is not a member");
        return;
    }
    Configuration next = withoutMember(configuration, id);
    // Otherwise the removal could not be committed, and it would block every later change.
    if (!hasActiveQuorum(state, next, now)) {
        effects.m_refusal = refusal(
            ResultCode::NotReady, "too few voters respond; the cluster would lose its majority without " + id.value());
        return;
    }
    changeConfiguration(state, std::move(next), now, effects);
}

void changeAddress(RaftState& state, const ChangeAddressEvent& event, MonotonicTime now, Effects& effects)
{
    const Configuration& configuration = latestConfiguration(state.m_log);
    const MemberRecord* member = findMember(configuration, event.m_member);
    if (!member) {
        effects.m_refusal = refusal(ResultCode::UnknownName, event.m_member.value() + " is not a member");
        return;
    }
    if (member->m_address != event.m_address)
        changeConfiguration(state, withAddress(configuration, event.m_member, event.m_address), now, effects);
}

void formCluster(RaftState& state, const FormClusterEvent& event, MonotonicTime now, Effects& effects)
{
    if (!isFresh(state) || !isVoter(event.m_configuration, state.m_self)) {
        effects.m_refusal = refusal(ResultCode::AlreadyExists, "this member already belongs to a cluster");
        return;
    }
    state.m_term = Term(1);
    effects.m_persistTermAndVote = true;
    appendOwn(state, event.m_configuration, effects);
    startPreVote(state, now, effects);
}

} // namespace

bool isActive(const RaftState& state, const MemberId& id, MonotonicTime now)
{
    if (id == state.m_self)
        return true;
    const auto found = state.m_progress.find(id);
    return found != state.m_progress.end() && found->second.m_lastHeard
        && now - *found->second.m_lastHeard <= state.m_options.m_electionTimeout;
}

bool isCaughtUp(const RaftState& state, const MemberId& id, MonotonicTime now)
{
    const auto found = state.m_progress.find(id);
    return found != state.m_progress.end() && isActive(state, id, now)
        && found->second.m_matchIndex >= state.m_commitIndex;
}

void handleMembershipEvent(RaftState& state, const RaftEvent& event, MonotonicTime now, Effects& effects)
{
    if (const auto* form = std::get_if<FormClusterEvent>(&event)) {
        formCluster(state, *form, now, effects);
        return;
    }
    effects.m_refusal = changeRefusal(state);
    if (effects.m_refusal)
        return;
    if (const auto* add = std::get_if<AddLearnerEvent>(&event))
        addLearner(state, *add, now, effects);
    else if (const auto* promotion = std::get_if<PromoteEvent>(&event))
        promote(state, promotion->m_member, now, effects);
    else if (const auto* removal = std::get_if<RemoveMemberEvent>(&event))
        removeMember(state, removal->m_member, now, effects);
    else if (const auto* address = std::get_if<ChangeAddressEvent>(&event))
        changeAddress(state, *address, now, effects);
}

void changeVoters(RaftState& state, MonotonicTime now, Effects& effects)
{
    if (changeRefusal(state))
        return;
    const auto& configurations = state.m_log.m_configurations;
    if (state.m_losses.m_tolerated > 0 && configurations.size() > 1
        && !hasSameVoters(configurations[configurations.size() - 2].second, configurations.back().second)) {
        // Tells members that the change of the voters is committed, see raftquorum.cpp.
        changeConfiguration(state, latestConfiguration(state.m_log), now, effects);
        return;
    }
    const auto change = nextVoterChange(state, now);
    if (!change)
        return;
    Configuration next = latestConfiguration(state.m_log);
    if (change->m_promoted)
        next = withVoter(std::move(next), *change->m_promoted);
    for (const MemberId& removed : change->m_removed)
        next = withoutMember(std::move(next), removed);
    if (hasActiveQuorum(state, next, now))
        changeConfiguration(state, std::move(next), now, effects);
}

} // namespace flamingo::detail
