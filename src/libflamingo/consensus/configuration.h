#pragma once

#include "consensus/memberrecord.h"

#include <cstddef>
#include <string>
#include <vector>

namespace flamingo {

/** The members of the cluster; each membership change writes a whole configuration to the log. */
struct Configuration {
    std::vector<MemberRecord> m_members;
    // Ids of removed members, oldest first. Join requests from these ids are refused.
    std::vector<MemberId> m_removed;

    friend bool operator==(const Configuration& a, const Configuration& b)
    {
        return a.m_members == b.m_members && a.m_removed == b.m_removed;
    }
};

/** Returns the member with the id, or nullptr. Valid until the configuration changes; thread-safe for readers. */
const MemberRecord* findMember(const Configuration& configuration, const MemberId& id);

/** Returns whether the id is a voter. Thread-safe for concurrent readers. */
bool isVoter(const Configuration& configuration, const MemberId& id);

/** Returns whether the id was removed from the cluster. Thread-safe for concurrent readers. */
bool wasRemoved(const Configuration& configuration, const MemberId& id);

/** Returns whether the same members vote in both configurations. Thread-safe for concurrent readers. */
bool hasSameVoters(const Configuration& a, const Configuration& b);

/** Returns the number of voters. Thread-safe for concurrent readers. */
std::size_t voterCount(const Configuration& configuration);

/** Returns the number of voters that form a majority. Thread-safe for concurrent readers. */
std::size_t quorumSize(const Configuration& configuration);

/**
 * Returns the configuration with the learner added. Precondition: no member has its id. Thread-safe.
 *
 * Other learners of the same VM are removed because they belong to a lost data folder. Learners have no vote, so the
 * removal does not count as a second membership change.
 */
Configuration withLearner(Configuration configuration, MemberRecord learner);

/** Returns the configuration with the member as a voter. Precondition: the id is a member. Thread-safe. */
Configuration withVoter(Configuration configuration, const MemberId& id);

/** Returns the configuration without the member and with its id among the removed ids. Thread-safe. */
Configuration withoutMember(Configuration configuration, const MemberId& id);

/** Returns the configuration with the member's address replaced. Thread-safe. */
Configuration withAddress(Configuration configuration, const MemberId& id, const std::string& address);

} // namespace flamingo
