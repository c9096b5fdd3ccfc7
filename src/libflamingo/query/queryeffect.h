#pragma once

#include "query/queryanswer.h"
#include "routing/executioneffects.h"

#include <variant>
#include <vector>

namespace flamingo {

/** Answers the caller. The execution is over and takes no further events. */
struct FinishQuery {
    QueryAnswer m_answer;
};

using QueryEffect = std::variant<SendCall, CancelCall, SetTimer, FinishQuery, ReportDeath, MarkSuccess, WakeExecution>;
using QueryEffects = std::vector<QueryEffect>;

} // namespace flamingo
