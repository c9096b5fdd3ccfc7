#pragma once

#include "base/ids.h"
#include "base/resultcode.h"

#include <string>

namespace flamingo {

/** What applying a command gave; the same for every resend of the command. */
struct CommandResult {
    ResultCode m_code = ResultCode::Ok;
    std::string m_text; // reason for people, or the recorded answer of a claim
    Revision m_revision; // revision at which the command is contained in the state
    ConfigurationVersion m_version; // current version; after a lost race the version that won
    // Set when an OpenClaim gave this run the right to send once. Ok without it means that m_text is
    // the recorded answer of an earlier run.
    bool m_claimOpened = false;
};

} // namespace flamingo
