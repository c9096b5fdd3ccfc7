#pragma once

#include "base/strongvalue.h"

#include <cstdint>
#include <string>

namespace flamingo {

// Position in the replicated log. The first entry has index 1; 0 means "before the first entry".
using LogIndex = StrongValue<struct LogIndexTag, std::uint64_t>;
// Raft term (election number). Each term has at most one leader.
using Term = StrongValue<struct TermTag, std::uint64_t>;
// VM name and the random incarnation number of its data folder, for example "vm1#5f3a90c2d1e4b786".
using MemberId = StrongValue<struct MemberIdTag, std::string>;

inline LogIndex operator+(const LogIndex& index, std::uint64_t count) { return LogIndex(index.value() + count); }
inline LogIndex operator-(const LogIndex& index, std::uint64_t count) { return LogIndex(index.value() - count); }
inline std::uint64_t operator-(const LogIndex& a, const LogIndex& b) { return a.value() - b.value(); }

} // namespace flamingo
