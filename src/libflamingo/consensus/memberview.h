#pragma once

#include "base/time.h"
#include "consensus/memberrecord.h"

#include <optional>
#include <string>
#include <vector>

namespace flamingo {

/** A member as displayed to operators. Only the leader knows the progress of other members. */
struct MemberView {
    MemberRecord m_member;
    bool m_leader = false;
    bool m_self = false;
    std::optional<LogIndex> m_matchIndex; // last entry known to be durable on the member
    std::optional<std::uint64_t> m_lag; // number of entries by which the member is behind the leader's last entry
    std::optional<Milliseconds> m_timeSinceAnswer; // since the member's last answer to the leader
    bool m_receivingSnapshot = false;
};

/** Returns the members as a human-readable table with a header line. Thread-safe. */
std::string formatMemberTable(const std::vector<MemberView>& members);

} // namespace flamingo
