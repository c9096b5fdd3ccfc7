#pragma once

#include <string>
#include <vector>

namespace flamingo::detail {

// The parser selects by the index of a word in these lists.

// In the order of the enumerators of ShowSubject.
inline const std::vector<std::string> showSubjects { "SERVICES", "ENDPOINTS", "VMS", "VERSIONS", "LEASES", "QUARANTINE",
    "MEMBERS", "CLAIMS", "EVACUATIONS" };

inline const std::vector<std::string> statementVerbs { "CREATE", "ALTER", "DROP", "DECLARE", "DRAIN", "RESTORE", "LIFT",
    "ADD", "REMOVE", "SHOW", "QUERY", "SEND", "EVACUATE" };

inline const std::vector<std::string> serviceOptions { "snapshot", "prefer", "floor", "deadline", "patience",
    "extra_load", "connections", "slots", "canary" };

} // namespace flamingo::detail
