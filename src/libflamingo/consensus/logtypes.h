#pragma once

#include "base/strongvalue.h"

#include <cstdint>
#include <string>

namespace flamingo {

// Position in the replicated log; the first entry has index 1 and 0 means "before the first entry".
using LogIndex = StrongValue<struct LogIndexTag, std::uint64_t>;
// Election number; at most one leader exists in each term.
using Term = StrongValue<struct TermTag, std::uint64_t>;
// VM name and random incarnation of one data folder, for example "vm1#5f3a90c2d1e4b786".
using MemberId = StrongValue<struct MemberIdTag, std::string>;

inline LogIndex operator+(const LogIndex& index, std::uint64_t count) { return LogIndex(index.value() + count); }
inline LogIndex operator-(const LogIndex& index, std::uint64_t count) { return LogIndex(index.value() - count); }
inline std::uint64_t operator-(const LogIndex& a, const LogIndex& b) { return a.value() - b.value(); }

} // namespace flamingo
