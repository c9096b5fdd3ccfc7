#pragma once

#include "consensus/configuration.h"

#include <algorithm>
#include <cstddef>
#include <set>
#include <utility>
#include <vector>

namespace flamingo {

/**
 * Voters whose data folders are known to be lost, and the number of losses at the same time that the group has to
 * survive.
 *
 * Any majority of the voters is a quorum. Of an even number of voters, half is a quorum too if the other half contains
 * as many lost voters as the group has to survive. Such a half and a majority always have a voter in common. Two halves
 * without a common voter would each need that number of lost voters in the other one, which is more losses than the
 * group survives in any case.
 */
struct VoterLosses {
    std::set<MemberId> m_lost;
    std::size_t m_tolerated = 0; // 0: only majorities are quorums
};

namespace detail {

/** Returns whether half of the voters is a quorum beside this number of lost voters in the other half. */
inline bool halfSuffices(std::size_t voters, std::size_t lostOutside, const VoterLosses& losses)
{
    return voters % 2 == 0 && losses.m_tolerated > 0 && lostOutside >= losses.m_tolerated;
}

} // namespace detail

/** Returns whether the voters for which the predicate holds are a quorum. Thread-safe for concurrent readers. */
template <typename Predicate>
bool isQuorum(const Configuration& configuration, const VoterLosses& losses, const Predicate& predicate)
{
    std::size_t voters = 0;
    std::size_t inside = 0;
    std::size_t lostOutside = 0;
    for (const MemberRecord& member : configuration.m_members) {
        if (!member.m_voter)
            continue;
        ++voters;
        if (predicate(member.m_id))
            ++inside;
        else
            lostOutside += losses.m_lost.count(member.m_id);
    }
    if (voters == 0)
        return false;
    return inside > voters / 2 || (2 * inside == voters && detail::halfSuffices(voters, lostOutside, losses));
}

/**
 * Returns the largest value that a quorum of the voters has reached.
 *
 * Precondition: the configuration has a voter. Thread-safe for concurrent readers.
 */
template <typename Value, typename ValueOf>
Value reachedByQuorum(const Configuration& configuration, const VoterLosses& losses, const ValueOf& valueOf)
{
    std::vector<std::pair<Value, bool>> values; // with whether the voter is lost
    for (const MemberRecord& member : configuration.m_members) {
        if (member.m_voter)
            values.emplace_back(valueOf(member.m_id), losses.m_lost.count(member.m_id) > 0);
    }
    std::sort(values.begin(), values.end(), [](const auto& a, const auto& b) { return a.first > b.first; });
    const std::size_t half = values.size() / 2;
    const auto lostOutside = std::count_if(values.begin() + static_cast<std::ptrdiff_t>(half), values.end(),
        [](const auto& value) { return value.second; });
    if (detail::halfSuffices(values.size(), static_cast<std::size_t>(lostOutside), losses))
        return values[half - 1].first;
    return values[half].first;
}

} // namespace flamingo
