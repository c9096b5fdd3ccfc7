#pragma once

#include "base/ids.h"
#include "consensus/logtypes.h"

#include <string>

namespace flamingo {

/** One member of the cluster of control VMs, as recorded in the log. */
struct MemberRecord {
    MemberId m_id;
    VmId m_vm;
    std::string m_address; // IP address and port of the control link
    bool m_voter = false; // false for a learner, which receives the log but has no vote

    friend bool operator==(const MemberRecord& a, const MemberRecord& b)
    {
        return a.m_id == b.m_id && a.m_vm == b.m_vm && a.m_address == b.m_address && a.m_voter == b.m_voter;
    }
};

} // namespace flamingo
