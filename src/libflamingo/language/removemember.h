#pragma once

#include <string>

namespace flamingo {

/** Removes a member from the replicated log, such as one whose data folder is lost. */
struct RemoveMember {
    std::string m_member; // VM name and incarnation, as listed by SHOW MEMBERS
};

} // namespace flamingo
