#pragma once

#include "query/queryanswer.h"
#include "routing/executioneffects.h"

#include <variant>
#include <vector>

namespace flamingo {

/** Sends the answer to the caller. The execution is finished and ignores further events. */
struct FinishQuery {
    QueryAnswer m_answer;
};

using QueryEffect = std::variant<SendCall, CancelCall, SetTimer, FinishQuery, ReportDeath, MarkSuccess, WakeExecution>;
using QueryEffects = std::vector<QueryEffect>;

} // namespace flamingo
