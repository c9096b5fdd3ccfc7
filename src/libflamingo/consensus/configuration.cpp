#include "consensus/configuration.h"

#include <algorithm>

namespace flamingo {

namespace {

// Enough for years of member replacements in a cluster of at most 21 control VMs.
constexpr std::size_t kMaxRemovedIds = 256;

void recordRemoved(Configuration& configuration, const MemberId& id)
{
    configuration.m_removed.push_back(id);
    if (configuration.m_removed.size() > kMaxRemovedIds)
        configuration.m_removed.erase(configuration.m_removed.begin());
}

} // namespace

const MemberRecord* findMember(const Configuration& configuration, const MemberId& id)
{
    for (const MemberRecord& member : configuration.m_members) {
        if (member.m_id == id)
            return &member;
    }
    return nullptr;
}

bool isVoter(const Configuration& configuration, const MemberId& id)
{
    const MemberRecord* member = findMember(configuration, id);
    return member && member->m_voter;
}

bool wasRemoved(const Configuration& configuration, const MemberId& id)
{
    return std::find(configuration.m_removed.begin(), configuration.m_removed.end(), id)
        != configuration.m_removed.end();
}

std::size_t voterCount(const Configuration& configuration)
{
    return static_cast<std::size_t>(std::count_if(configuration.m_members.begin(), configuration.m_members.end(),
        [](const MemberRecord& member) { return member.m_voter; }));
}

bool hasSameVoters(const Configuration& a, const Configuration& b)
{
    return voterCount(a) == voterCount(b)
        && std::all_of(a.m_members.begin(), a.m_members.end(),
            [&](const MemberRecord& member) { return !member.m_voter || isVoter(b, member.m_id); });
}

std::size_t quorumSize(const Configuration& configuration) { return voterCount(configuration) / 2 + 1; }

Configuration withLearner(Configuration configuration, MemberRecord learner)
{
    auto& members = configuration.m_members;
    for (auto it = members.begin(); it != members.end();) {
        if (it->m_vm == learner.m_vm && !it->m_voter) {
            recordRemoved(configuration, it->m_id);
            it = members.erase(it);
        } else
            ++it;
    }
    learner.m_voter = false;
    members.push_back(std::move(learner));
    return configuration;
}

Configuration withVoter(Configuration configuration, const MemberId& id)
{
    for (MemberRecord& member : configuration.m_members) {
        if (member.m_id == id)
            member.m_voter = true;
    }
    return configuration;
}

Configuration withoutMember(Configuration configuration, const MemberId& id)
{
    auto& members = configuration.m_members;
    members.erase(
        std::remove_if(members.begin(), members.end(), [&](const MemberRecord& member) { return member.m_id == id; }),
        members.end());
    recordRemoved(configuration, id);
    return configuration;
}

Configuration withAddress(Configuration configuration, const MemberId& id, const std::string& address)
{
    for (MemberRecord& member : configuration.m_members) {
        if (member.m_id == id)
            member.m_address = address;
    }
    return configuration;
}

} // namespace flamingo
