#include "consensus/voterchange.h"

#include "consensus/raftinternal.h"
#include "consensus/voterresponse.h"

#include <algorithm>

namespace flamingo {

// Replacement of voters that are gone for good, each by a VM with another name.
//
// The leader cannot tell a voter that is gone from one that is cut off or frozen for long, so every removal must be
// harmless for a voter that only wakes later. With f = RaftOptions::m_toleratedLosses:
//
// - Once there are 2f + 1 voters, there are never fewer than 2f: a removal from 2f + 1 needs a learner that has caught
//   up and takes over the vote with the same change, and none is made from 2f. The quorum of 2f voters is f + 1, as
//   that of 2f + 1.
// - A learner that replaces no voter is promoted only after the time that it takes to notice a silent voter. Otherwise
// a
//   voter that has just gone and its successor would both count, and the loss of the successor would be one too many.
// - A quorum of the remaining voters commits each change. It has all earlier entries, so each acknowledged entry is on
//   at least f + 1 of the present voters, whichever members were removed. f lost disks leave one copy of it.
// - A leader without a quorum commits no change. A group that is split or frozen therefore keeps its voters until a
//   majority of them works, and that majority needs none of the others.
// - With fewer learners than silent voters, some of the silent ones may be frozen and others gone. Replacing only one
//   may leave the one that is gone in the place of the other, whose disk is sound. All of them are removed with one
//   change then, down to 2f voters. f lost disks of these leave f, which are a quorum (see VoterLosses).
//
// If f is not known, the number of losses that the present voters tolerate takes its place: a voter is removed only
// from an even number of voters, which tolerates no more losses than the odd number below it.

namespace {

/** Returns the number of voters below which no voter is removed, unless a learner takes over its vote. */
std::size_t minVoters(const RaftOptions& options, std::size_t voters)
{
    if (options.m_toleratedLosses > 0)
        return 2 * options.m_toleratedLosses + 1;
    return voters % 2 == 0 ? voters - 1 : voters;
}

/** Returns whether the responsive voters would have no leader after the tolerated number of further losses. */
bool lacksTolerance(const RaftOptions& options, const VoterResponse& response)
{
    if (options.m_toleratedLosses == 0)
        return true;
    const std::size_t responsive = response.m_voters - response.m_unresponsive.size();
    return responsive < response.m_quorum + options.m_toleratedLosses;
}

/** Returns the other member of the learner's VM: its id before the VM lost its data folder. */
const MemberRecord* predecessorOf(const Configuration& configuration, const MemberRecord& learner)
{
    const auto found = std::find_if(configuration.m_members.begin(), configuration.m_members.end(),
        [&](const MemberRecord& member) { return member.m_vm == learner.m_vm && member.m_id != learner.m_id; });
    return found != configuration.m_members.end() ? &*found : nullptr;
}

/** Returns whether a voter does not answer at present, but not for long enough to count as unresponsive. */
bool hasUndecidedVoter(const VoterResponse& response)
{
    return response.m_silent.size() > response.m_unresponsive.size();
}

/**
 * Returns whether it does not matter which of the unresponsive voters is replaced first: the data of the first one is
 * lost, or the voters that answer and the learners that have caught up are enough without any of them.
 */
bool mayReplaceFirst(const RaftState& state, const VoterResponse& response, MonotonicTime now)
{
    if (state.m_options.m_toleratedLosses == 0 || response.m_lost > 0)
        return true;
    const auto& members = latestConfiguration(state.m_log).m_members;
    const auto learners = std::count_if(members.begin(), members.end(),
        [&](const MemberRecord& member) { return !member.m_voter && detail::isCaughtUp(state, member.m_id, now); });
    return response.m_voters - response.m_silent.size() + static_cast<std::size_t>(learners)
        >= 2 * state.m_options.m_toleratedLosses + 1;
}

/** Returns whether the learner has answered for as long as it takes to notice a silent voter that it may replace. */
bool hasWaited(const RaftState& state, const MemberRecord& learner, MonotonicTime now)
{
    const auto& firstHeard = state.m_progress.at(learner.m_id).m_firstHeard;
    return !state.m_options.m_removesUnresponsiveVoters
        || (firstHeard && now - *firstHeard >= state.m_options.m_voterResponseTimeout);
}

VoterChange promotionOf(const MemberId& member) { return { {}, member }; }
VoterChange exchangeOf(const MemberId& old, const MemberId& learner) { return { { old }, learner }; }
VoterChange removalOf(const MemberId& member) { return { { member }, std::nullopt }; }

/** Returns the removal of the silent voters, of which no more than the number are removed. */
VoterChange removalOfSilent(const VoterResponse& response, std::size_t number)
{
    const auto& silent = response.m_silent;
    const auto end = silent.begin() + static_cast<std::ptrdiff_t>(std::min(number, silent.size()));
    return { { silent.begin(), end }, std::nullopt };
}

/** Returns the change that brings in a learner that has caught up, or nothing if that has to wait. */
std::optional<VoterChange> changeForLearner(
    const RaftState& state, const MemberRecord& learner, const VoterResponse& response, MonotonicTime now)
{
    const RaftOptions& options = state.m_options;
    if (const MemberRecord* predecessor = predecessorOf(latestConfiguration(state.m_log), learner)) {
        if (detail::isActive(state, predecessor->m_id, now))
            return std::nullopt;
        // With 2f voters, a vote is already owed to a learner. This one takes it over, which does not raise the quorum.
        if (options.m_toleratedLosses > 0 && response.m_voters == 2 * options.m_toleratedLosses)
            return promotionOf(learner.m_id);
        return options.m_toleratedLosses > 0 ? exchangeOf(predecessor->m_id, learner.m_id)
                                             : removalOf(predecessor->m_id);
    }
    if (!options.m_removesUnresponsiveVoters || options.m_toleratedLosses == 0
        || response.m_voters < minVoters(options, response.m_voters))
        return promotionOf(learner.m_id);
    // Added to an odd number of voters, the learner would raise the quorum and be needed for it at once. In the place
    // of an unresponsive voter it does not. Removed alone, the voter would leave an even number, of which no more may
    // be lost until the learner votes.
    if (response.m_voters % 2 != 0 && !response.m_unresponsive.empty()) {
        if (mayReplaceFirst(state, response, now) || response.m_voters > 2 * options.m_toleratedLosses + 1)
            return exchangeOf(response.m_unresponsive.front(), learner.m_id);
        VoterChange change = removalOfSilent(response, response.m_voters + 1 - 2 * options.m_toleratedLosses);
        change.m_promoted = learner.m_id;
        return change;
    }
    if (hasUndecidedVoter(response) || !hasWaited(state, learner, now))
        return std::nullopt;
    return promotionOf(learner.m_id);
}

/** Returns the removal of voters that are not needed because there are more than 2f + 1, or nothing. */
std::optional<VoterChange> changeForExcess(const RaftState& state, const VoterResponse& response, MonotonicTime now)
{
    const RaftOptions& options = state.m_options;
    if (!options.m_removesUnresponsiveVoters || response.m_unresponsive.empty()
        || response.m_voters <= minVoters(options, response.m_voters) || !lacksTolerance(options, response))
        return std::nullopt;
    if (response.m_voters != 2 * options.m_toleratedLosses + 2 || mayReplaceFirst(state, response, now))
        return removalOf(response.m_unresponsive.front());
    return removalOfSilent(response, response.m_voters - 2 * options.m_toleratedLosses);
}

} // namespace

std::optional<VoterChange> nextVoterChange(const RaftState& state, MonotonicTime now)
{
    const VoterResponse response = voterResponse(state, now);
    if (auto change = changeForExcess(state, response, now))
        return change;
    for (const MemberRecord& member : latestConfiguration(state.m_log).m_members) {
        if (member.m_voter || !detail::isCaughtUp(state, member.m_id, now))
            continue;
        if (auto change = changeForLearner(state, member, response, now))
            return change;
    }
    return std::nullopt;
}

} // namespace flamingo
