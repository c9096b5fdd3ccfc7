#pragma once

#include "base/ids.h"
#include "base/reason.h"

namespace flamingo {

/** Returns the answer to a query or request that was refused before it started. Thread-safe. */
template <typename Answer> Answer refusedAnswer(const RequestId& id, const Reason& reason)
{
    Answer answer;
    answer.m_code = reason.m_code;
    answer.m_text = reason.m_text;
    answer.m_id = id;
    return answer;
}

} // namespace flamingo
