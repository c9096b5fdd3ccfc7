#pragma once

#include "base/ids.h"
#include "endpoint/endpointcall.h"
#include "routing/endpointindex.h"

namespace flamingo {

/** A call of the execution ended. Replies to cancelled calls may be passed on; they are dropped. */
struct CallReplied {
    AttemptNumber m_attempt;
    EndpointReply m_reply;
};

/** The time of the last SetTimer has come. */
struct TimerExpired { };

/** A new published state has been applied to the routing state. */
struct StateChanged { };

/** An endpoint that the execution waits for can take a call; see WakeExecution. */
struct CapacityFreed {
    EndpointIndex m_endpoint;
};

/** The control VMs have applied a death that the execution reported. */
struct QuarantineDecided {
    bool m_quarantined = false;
};

} // namespace flamingo
