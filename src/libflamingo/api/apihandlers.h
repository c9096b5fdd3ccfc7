#pragma once

#include "api/announcement.h"
#include "api/announcementanswer.h"
#include "api/commandstatusanswer.h"
#include "api/commandstatusrequest.h"
#include "api/healthanswer.h"
#include "api/statementanswer.h"
#include "api/statementrequest.h"
#include "query/queryanswer.h"
#include "query/queryrequest.h"
#include "request/calleranswer.h"
#include "request/callerrequest.h"

#include <functional>
#include <string>

namespace flamingo {

/**
 * Functions that the HTTP server calls to process requests.
 *
 * They are called on the server's threads, several at a time, and may block. If a handler is not set, the server
 * answers NotReady. If a handler throws, the server answers InternalError, or an unknown outcome to caller requests
 * and statements, which may have run.
 */
struct ApiHandlers {
    std::function<QueryAnswer(QueryRequest)> m_query;
    std::function<CallerAnswer(CallerRequest)> m_request;
    std::function<AnnouncementAnswer(Announcement)> m_announce;
    std::function<StatementAnswer(StatementRequest)> m_statement;
    std::function<CommandStatusAnswer(CommandStatusRequest)> m_commandStatus;
    std::function<HealthAnswer()> m_health;
    std::function<std::string()> m_metrics; // Prometheus text format
};

} // namespace flamingo
