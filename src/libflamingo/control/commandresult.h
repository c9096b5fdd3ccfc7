#pragma once

#include "base/ids.h"
#include "base/resultcode.h"

#include <string>

namespace flamingo {

/** Result of applying a command; the same for each resend of an operator command. */
struct CommandResult {
    ResultCode m_code = ResultCode::Ok;
    std::string m_text; // explanation for operators, or the recorded answer of a claim
    Revision m_revision; // revision of the state after the command; the state contains the effect of the command
    ConfigurationVersion m_version; // configuration version after the command; on VersionMismatch the current one
    // True if an OpenClaim granted this run the right to send the request once. If it is false and the code is Ok,
    // m_text is the recorded answer of an earlier run.
    bool m_claimOpened = false;
};

} // namespace flamingo
