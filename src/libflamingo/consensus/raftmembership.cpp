#include "consensus/raftinternal.h"

namespace flamingo::detail {

// Replacing a voter whose data folder came back empty.
//
// The returning process has a new member id N; its old id O stays a voter that can never answer again, because
// messages for O are dropped by N and O's votes and acknowledgements are gone with its disk. The leader adds N as a
// learner, waits until N has caught up, removes O, and only then promotes N. Each of these is one committed entry
// that changes at most one voter, so the majorities before and after it always share a voter that has not lost
// anything, whether or not O is really gone.
//
// O is removed before N is promoted, not after. With three voters A, C and O, the cluster depends on A and C until
// O is removed either way. Promoting first would give four voters of which three are needed, so if N's VM or any
// other is lost right then, A and C alone could never repair the cluster. Removing first gives {A, C}, which is no
// worse than before, and then {A, C, N}, which survives the loss of any one. An entry that was committed by A and O
// alone is in the leader's log, since only A or a member that copied it from A can win with O silent; the entry that
// removes O is committed by both A and C, which therefore both hold it before N's vote counts.

namespace {

Reason refusal(ResultCode code, std::string text) { return Reason { code, std::move(text) }; }

bool hasActiveQuorum(const RaftState& state, const Configuration& configuration, MonotonicTime now)
{
    std::size_t active = 0;
    for (const MemberRecord& member : configuration.m_members) {
        if (member.m_voter && isActive(state, member.m_id, now))
            ++active;
    }
    return voterCount(configuration) > 0 && active >= quorumSize(configuration);
}

/** Returns why no membership change may start now. */
std::optional<Reason> changeBlocked(const RaftState& state)
{
    if (state.m_role != Role::Leader)
        return refusal(ResultCode::NotLeader, "this member does not lead the log");
    if (latestConfigurationIndex(state.m_log) > state.m_commit)
        return refusal(ResultCode::NotReady, "another membership change is not committed yet");
    // Without a committed entry of its own term, a leader may not know of an earlier change that is committed.
    if (state.m_commit < state.m_termStart)
        return refusal(ResultCode::NotReady, "the leader has not committed an entry of its term yet");
    return std::nullopt;
}

bool isCaughtUp(const RaftState& state, const MemberId& id, MonotonicTime now)
{
    const auto found = state.m_progress.find(id);
    return found != state.m_progress.end() && isActive(state, id, now) && found->second.m_match >= state.m_commit;
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
        effects.m_refused = refusal(ResultCode::AlreadyExists, learner.m_id.value() + " is a member already");
        return;
    }
    if (wasRemoved(configuration, learner.m_id)) {
        effects.m_refused = refusal(ResultCode::AlreadyExists,
            learner.m_id.value() + " was removed; an empty data folder gives the VM a new member id");
        return;
    }
    for (const MemberRecord& member : configuration.m_members) {
        if (member.m_vm == learner.m_vm && isActive(state, member.m_id, now)) {
            effects.m_refused = refusal(ResultCode::AlreadyExists,
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
        effects.m_refused = refusal(ResultCode::UnknownName, id.value() + " is not a member");
        return;
    }
    if (member->m_voter) {
        effects.m_refused = refusal(ResultCode::AlreadyExists, id.value() + " is a voter already");
        return;
    }
    if (!isCaughtUp(state, id, now)) {
        effects.m_refused = refusal(ResultCode::NotReady, id.value() + " has not caught up yet");
        return;
    }
    Configuration next = withVoter(configuration, id);
    if (!hasActiveQuorum(state, next, now)) {
        effects.m_refused = refusal(ResultCode::NotReady, "too few voters answer to add another");
        return;
    }
    changeConfiguration(state, std::move(next), now, effects);
}

void removeMember(RaftState& state, const MemberId& id, MonotonicTime now, Effects& effects)
{
    const Configuration& configuration = latestConfiguration(state.m_log);
    if (!findMember(configuration, id)) {
        effects.m_refused = refusal(ResultCode::UnknownName, id.value() + " is not a member");
        return;
    }
    Configuration next = withoutMember(configuration, id);
    // The removal itself could not be committed, and the cluster would be stuck with it.
    if (!hasActiveQuorum(state, next, now)) {
        effects.m_refused = refusal(
            ResultCode::NotReady, "too few voters answer; the cluster would lose its majority without " + id.value());
        return;
    }
    changeConfiguration(state, std::move(next), now, effects);
}

void changeAddress(RaftState& state, const ChangeAddressEvent& event, MonotonicTime now, Effects& effects)
{
    const Configuration& configuration = latestConfiguration(state.m_log);
    const MemberRecord* member = findMember(configuration, event.m_member);
    if (!member) {
        effects.m_refused = refusal(ResultCode::UnknownName, event.m_member.value() + " is not a member");
        return;
    }
    if (member->m_address != event.m_address)
        changeConfiguration(state, withAddress(configuration, event.m_member, event.m_address), now, effects);
}

void formCluster(RaftState& state, const FormClusterEvent& event, MonotonicTime now, Effects& effects)
{
    if (!isFresh(state) || !isVoter(event.m_configuration, state.m_self)) {
        effects.m_refused = refusal(ResultCode::AlreadyExists, "this member already belongs to a cluster");
        return;
    }
    state.m_term = Term(1);
    effects.m_persistVote = true;
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

void handleMembershipEvent(RaftState& state, const RaftEvent& event, MonotonicTime now, Effects& effects)
{
    if (const auto* form = std::get_if<FormClusterEvent>(&event)) {
        formCluster(state, *form, now, effects);
        return;
    }
    effects.m_refused = changeBlocked(state);
    if (effects.m_refused)
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

void manageMembership(RaftState& state, MonotonicTime now, Effects& effects)
{
    if (changeBlocked(state))
        return;
    const Configuration configuration = latestConfiguration(state.m_log);
    for (const MemberRecord& learner : configuration.m_members) {
        if (learner.m_voter || !isCaughtUp(state, learner.m_id, now))
            continue;
        const MemberRecord* predecessor = nullptr;
        for (const MemberRecord& member : configuration.m_members) {
            if (member.m_vm == learner.m_vm && member.m_id != learner.m_id)
                predecessor = &member;
        }
        Effects attempt;
        if (!predecessor)
            promote(state, learner.m_id, now, attempt);
        else if (!isActive(state, predecessor->m_id, now))
            removeMember(state, predecessor->m_id, now, attempt);
        else
            continue;
        if (attempt.m_refused)
            continue;
        // Only one change at a time; the next tick goes on from the committed configuration.
        effects.m_append.insert(effects.m_append.end(), attempt.m_append.begin(), attempt.m_append.end());
        effects.m_messages.insert(effects.m_messages.end(), attempt.m_messages.begin(), attempt.m_messages.end());
        return;
    }
}

} // namespace flamingo::detail
