#pragma once

#include "base/time.h"
#include "consensus/memberrecord.h"

#include <optional>
#include <string>
#include <vector>

namespace flamingo {

/** A member as displayed to operators. Progress is known to the leader only. */
struct MemberView {
    MemberRecord m_member;
    bool m_leader = false;
    bool m_self = false;
    std::optional<LogIndex> m_match; // last entry known to be durable there
    std::optional<std::uint64_t> m_lag; // entries behind the leader's last
    std::optional<Milliseconds> m_silence; // since the last answer
    bool m_receivingSnapshot = false;
};

/** Returns the members as a table with a header line, for people. Thread-safe. */
std::string formatMemberTable(const std::vector<MemberView>& members);

} // namespace flamingo
