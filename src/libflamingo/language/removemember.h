#pragma once

#include <string>

namespace flamingo {

/** Takes a member out of the replicated log, such as one whose data folder is lost. */
struct RemoveMember {
    std::string m_member; // VM name and incarnation, as SHOW MEMBERS lists it
};

} // namespace flamingo
