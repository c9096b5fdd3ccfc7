#pragma once

#include "base/resultcode.h"

#include <string>

namespace flamingo {

/** Reason for the failure of an operation: a result code and a message for people. */
struct Reason {
    ResultCode m_code = ResultCode::Ok;
    std::string m_text;
};

} // namespace flamingo
