#pragma once

#include "base/time.h"
#include "endpoint/callhandle.h"
#include "endpoint/connectionpool.h"
#include "endpoint/endpointcall.h"
#include "endpoint/httpconnection.h"

namespace flamingo::detail {

/** A call that was started and has not ended. */
struct RunningCall {
    CallHandle m_handle;
    EndpointCall m_call;
    EndpointReplyHandler m_handler;
    MonotonicTime m_startedAt;
    MonotonicTime m_sentAt;
    ConnectionPool* m_pool = nullptr;
    HttpConnection* m_connection = nullptr; // unset while queued
};

/** Time at which a call ends without an answer. */
struct CallDeadline {
    MonotonicTime m_at;
    CallHandle m_call;

    friend bool operator>(const CallDeadline& a, const CallDeadline& b) { return a.m_at > b.m_at; }
};

} // namespace flamingo::detail
