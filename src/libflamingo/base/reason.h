#pragma once

#include "base/resultcode.h"

#include <string>

namespace flamingo {

/** Why the last operation failed: a numbered code and a text for people. */
struct Reason {
    ResultCode m_code = ResultCode::Ok;
    std::string m_text;
};

} // namespace flamingo
