#include "consensus/bootstrap.h"

#include "base/hash.h"

#include <algorithm>
#include <set>

namespace flamingo {

namespace {

constexpr Milliseconds kAttemptInterval { 500 };
// Longer than several attempts, because answers may be late; short enough to ignore a process that has ended since.
constexpr Milliseconds kAnswerLifetime { 3000 };
// Time without contact from a leader after which a member asks to join; about twice the longest election timeout.
constexpr Milliseconds kLeaderContactTimeout { 3000 };

/** Returns whether this VM is an initial member. */
bool isInitialMember(const BootstrapState& bootstrap)
{
    return std::any_of(bootstrap.m_initialMembers.begin(), bootstrap.m_initialMembers.end(),
        [&](const InitialMember& member) { return member.m_vm == bootstrap.m_vm; });
}

/** Returns whether this VM is the initial member with the smallest name. */
bool mayFormCluster(const BootstrapState& bootstrap)
{
    return isInitialMember(bootstrap)
        && std::all_of(bootstrap.m_initialMembers.begin(), bootstrap.m_initialMembers.end(),
            [&](const InitialMember& member) { return bootstrap.m_vm <= member.m_vm; });
}

/** Returns the initial configuration if all initial members are known to be fresh and one of them allows bootstrap. */
std::optional<Configuration> makeInitialConfiguration(const BootstrapState& bootstrap, const RaftState& raft)
{
    if (!mayFormCluster(bootstrap))
        return std::nullopt;
    bool allowed = bootstrap.m_bootstrapAllowed;
    Configuration configuration;
    const std::uint64_t digest = initialListDigest(bootstrap.m_initialMembers);
    for (const InitialMember& member : bootstrap.m_initialMembers) {
        if (member.m_vm == bootstrap.m_vm) {
            configuration.m_members.push_back({ raft.m_self, member.m_vm, member.m_address, true });
            continue;
        }
        const auto found = bootstrap.m_answers.find(member.m_address);
        if (found == bootstrap.m_answers.end())
            return std::nullopt;
        const StatusAnswer& status = found->second.m_status;
        if (!status.m_fresh || status.m_vm != member.m_vm || status.m_listDigest != digest)
            return std::nullopt;
        allowed = allowed || status.m_bootstrapAllowed;
        configuration.m_members.push_back({ found->second.m_member, member.m_vm, member.m_address, true });
    }
    return allowed ? std::optional<Configuration>(configuration) : std::nullopt;
}

/**
 * Returns whether the member has to ask to join because the cluster may not know it, or knows it at another address.
 *
 * This includes a member that is in its own latest configuration but has no contact with a leader: a later leader may
 * have replaced the entry that added the member.
 */
bool needsJoinRequest(const BootstrapState& bootstrap, const RaftState& raft, MonotonicTime now)
{
    const MemberRecord* own = findMember(latestConfiguration(raft.m_log), raft.m_self);
    if (own && own->m_address != bootstrap.m_address)
        return true;
    return raft.m_role != Role::Leader
        && (!raft.m_lastLeaderContact || now - *raft.m_lastLeaderContact > kLeaderContactTimeout);
}

void addJoinRequests(const BootstrapState& bootstrap, const std::set<std::string>& addresses, BootstrapEffects& effects)
{
    for (const std::string& address : addresses) {
        if (!address.empty() && address != bootstrap.m_address)
            effects.m_messages.emplace_back(address, JoinRequest { bootstrap.m_vm, MemberId() });
    }
}

} // namespace

std::uint64_t initialListDigest(const std::vector<InitialMember>& members)
{
    std::vector<std::string> lines;
    lines.reserve(members.size());
    for (const InitialMember& member : members)
        lines.push_back(member.m_vm.value() + " " + member.m_address + "\n");
    std::sort(lines.begin(), lines.end());
    std::uint64_t digest = 0;
    for (const std::string& line : lines)
        digest = hashBytes(line, digest);
    return digest;
}

StatusAnswer statusOf(const BootstrapState& bootstrap, const RaftState& raft, const std::string& leaderAddress)
{
    return { bootstrap.m_vm, isFresh(raft), bootstrap.m_bootstrapAllowed, initialListDigest(bootstrap.m_initialMembers),
        leaderAddress };
}

BootstrapEffects stepBootstrap(BootstrapState& bootstrap, const RaftState& raft, MonotonicTime now)
{
    BootstrapEffects effects;
    if (now < bootstrap.m_nextAttempt || raft.m_removed)
        return effects;
    bootstrap.m_nextAttempt = now + kAttemptInterval;
    if (!isFresh(raft)) {
        bootstrap.m_answers.clear();
        if (!needsJoinRequest(bootstrap, raft, now))
            return effects;
        std::set<std::string> addresses;
        for (const InitialMember& member : bootstrap.m_initialMembers)
            addresses.insert(member.m_address);
        for (const MemberRecord& member : latestConfiguration(raft.m_log).m_members)
            addresses.insert(member.m_address);
        // The leader may be a VM that joined after this member's last entry.
        addresses.insert(bootstrap.m_leaderAddress);
        addJoinRequests(bootstrap, addresses, effects);
        return effects;
    }
    for (auto it = bootstrap.m_answers.begin(); it != bootstrap.m_answers.end();)
        it = now - it->second.m_receivedAt > kAnswerLifetime ? bootstrap.m_answers.erase(it) : std::next(it);
    effects.m_initialConfiguration = makeInitialConfiguration(bootstrap, raft);
    if (effects.m_initialConfiguration)
        return effects;
    std::set<std::string> clusterAddresses;
    for (const auto& [address, answer] : bootstrap.m_answers) {
        if (!answer.m_status.m_fresh) {
            clusterAddresses.insert(address);
            clusterAddresses.insert(answer.m_status.m_leaderAddress);
        }
    }
    addJoinRequests(bootstrap, clusterAddresses, effects);
    for (const InitialMember& member : bootstrap.m_initialMembers) {
        if (member.m_vm != bootstrap.m_vm)
            effects.m_messages.emplace_back(
                member.m_address, StatusQuery { initialListDigest(bootstrap.m_initialMembers) });
    }
    return effects;
}

void handleStatusAnswer(
    BootstrapState& bootstrap, const RaftMessage& message, const StatusAnswer& answer, MonotonicTime now)
{
    for (const InitialMember& member : bootstrap.m_initialMembers) {
        if (member.m_vm != answer.m_vm || member.m_vm == bootstrap.m_vm)
            continue;
        if (bootstrap.m_answers.count(member.m_address) == 0)
            bootstrap.m_nextAttempt = now; // this answer may allow the next step of the bootstrap
        bootstrap.m_answers[member.m_address] = { message.m_from, answer, now };
    }
}

} // namespace flamingo
