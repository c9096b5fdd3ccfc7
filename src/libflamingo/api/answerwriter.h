#pragma once

#include "api/announcementanswer.h"
#include "api/commandstatusanswer.h"
#include "api/statementanswer.h"
#include "base/reason.h"
#include "query/queryanswer.h"
#include "request/calleranswer.h"

#include <string>

namespace flamingo {

// Each function returns the JSON body of an HTTP response. All are thread-safe.

/** Copies the hits unchanged, since the merge has already validated them. */
std::string writeAnswer(const QueryAnswer& answer);
/** Copies the endpoint's answer if it is valid JSON, and writes it as a string otherwise. */
std::string writeAnswer(const CallerAnswer& answer);
std::string writeAnswer(const AnnouncementAnswer& answer);
/** Copies the rows unchanged. */
std::string writeAnswer(const StatementAnswer& answer);
std::string writeAnswer(const CommandStatusAnswer& answer);
std::string writeAnswer(const Reason& reason);

} // namespace flamingo
