#pragma once

#include "base/ids.h"
#include "endpoint/endpointcall.h"
#include "routing/endpointindex.h"

namespace flamingo {

/** A call of the execution ended. Replies to cancelled calls may be passed too; they are dropped. */
struct CallReplied {
    AttemptNumber m_attempt;
    EndpointReply m_reply;
};

/** The timer of the last SetTimer expired. */
struct TimerExpired { };

/** A new published state has been applied to the routing state. */
struct StateChanged { };

/** An endpoint that the execution waits for can take a call; see WakeExecution. */
struct CapacityFreed {
    EndpointIndex m_endpoint;
};

/** The control VMs have applied a ReportDeath of the execution. */
struct QuarantineDecided {
    bool m_quarantined = false;
};

} // namespace flamingo
